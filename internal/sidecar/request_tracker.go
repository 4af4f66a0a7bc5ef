package sidecar

import (
	"net/http"
	"sync"
	"time"
)

// requestTracker counts the requests in flight at all HTTP servers of a node. It
// is safe for concurrent use.
type requestTracker struct {
	// mu guards the other fields.
	mu      sync.Mutex
	running int
	// becameIdle is closed and replaced when running drops to zero.
	becameIdle chan struct{}
}

func newRequestTracker() *requestTracker { return &requestTracker{becameIdle: make(chan struct{})} }

// track wraps a handler so that its requests are counted.
func (t *requestTracker) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.add(1)
		defer t.add(-1)
		h.ServeHTTP(w, r)
	})
}

func (t *requestTracker) add(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += n
	if t.running == 0 {
		close(t.becameIdle)
		t.becameIdle = make(chan struct{})
	}
}

// idleState reports whether no request is in flight, and returns the channel
// that is closed the next time the last request in flight ends.
func (t *requestTracker) idleState() (idle bool, becameIdle <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running == 0, t.becameIdle
}

// waitIdle returns true as soon as no request is in flight, or false after
// limit.
func (t *requestTracker) waitIdle(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		idle, becameIdle := t.idleState()
		if idle {
			return true
		}
		select {
		case <-becameIdle:
			return true
		case <-timer.C:
			return false
		}
	}
}
