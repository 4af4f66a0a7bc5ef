package main

import (
	"fmt"
	"sync"
	"time"
)

// violationLog collects the violations of a run. It is safe for concurrent use.
type violationLog struct {
	start time.Time
	// mu guards entries.
	mu      sync.Mutex
	entries []violation
}

func (l *violationLog) add(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, violation{Rule: rule, Elapsed: time.Since(l.start), Detail: fmt.Sprintf(format, args...)})
}

func (l *violationLog) all() []violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]violation(nil), l.entries...)
}
