package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file. It is safe for
// concurrent use.
type record struct {
	mu     sync.Mutex
	f      *os.File
	start  time.Time
	broken int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// breach records one observation that breaks the rule.
func (r *record) breach(format string, args ...any) {
	r.log("BREACH "+format, args...)
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
}

func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
