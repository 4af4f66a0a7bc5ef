package main

import (
	"fmt"
	"sync"
	"time"
)

// verdict collects violations. It is safe for concurrent use.
type verdict struct {
	began time.Time
	// mu guards list.
	mu   sync.Mutex
	list []violation
}

func (v *verdict) add(rule, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, violation{Rule: rule, At: time.Since(v.began), Detail: fmt.Sprintf(format, args...)})
}

func (v *verdict) violations() []violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]violation(nil), v.list...)
}
