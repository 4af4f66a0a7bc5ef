package sidecar

import (
	"net/http"
	"sync"
	"time"
)

// activity counts the requests in flight. It is safe for concurrent use.
type activity struct {
	// mu guards the other fields.
	mu      sync.Mutex
	running int
	lastEnd time.Time
	// changed is closed and replaced when running becomes zero.
	changed chan struct{}
}

func newActivity() *activity { return &activity{changed: make(chan struct{})} }

// count wraps a handler.
func (a *activity) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.add(1)
		defer a.add(-1)
		h.ServeHTTP(w, r)
	})
}

func (a *activity) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running += n
	a.lastEnd = time.Now()
	if a.running == 0 {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// state returns whether no request has run for a time, how long that takes at
// least from now, and a channel that is closed when the last request ends.
func (a *activity) state(quiet time.Duration) (idle bool, wait time.Duration, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running > 0 {
		return false, time.Hour, a.changed
	}
	wait = quiet - time.Since(a.lastEnd)
	return wait <= 0, wait, a.changed
}

// await returns true when no request has run for quiet, or false after limit.
func (a *activity) await(quiet, limit time.Duration) bool {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		idle, wait, changed := a.state(quiet)
		if idle {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-end.C:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}
