package main

import (
	"sync"
	"time"
)

// storeReturns holds the spans of time in which the store was away or lost writes were
// not all written again. It is safe for concurrent use.
type storeReturns struct {
	// mu guards spans.
	mu    sync.Mutex
	spans []storeReturn
}

func (s *storeReturns) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, storeReturn{begin: now})
}

func (s *storeReturns) end(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans[len(s.spans)-1].end = now
}

// overlap reports whether one of the spans has a moment in common with the given one.
func (s *storeReturns) overlap(from, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.spans {
		if r.begin.Before(until) && (r.end.IsZero() || r.end.After(from)) {
			return true
		}
	}
	return false
}
