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
	if a.running == 0 {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

func (a *activity) state() (idle bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running == 0, a.changed
}

// await returns true as soon as no request runs, or false after limit.
func (a *activity) await(limit time.Duration) bool {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		idle, changed := a.state()
		if idle {
			return true
		}
		select {
		case <-changed:
			return true
		case <-end.C:
			return false
		}
	}
}
