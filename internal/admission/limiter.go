package admission

import (
	"context"
	"sync"

	"github.com/filbertpier/filbertpier/internal/call"
)

// Limiter keeps the calls on one upstream within its slots. It is safe for
// concurrent use.
type Limiter struct {
	// mu guards slots, running and waiting.
	mu      sync.Mutex
	slots   int
	running int
	waiting []*waiter
}

// NewLimiter returns a limiter for an upstream with a number of slots.
func NewLimiter(slots int) *Limiter { return &Limiter{slots: slots} }

// SetSlots changes the number of slots; running calls are not cut off.
func (l *Limiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slots
	l.grant()
}

// Acquire waits for a slot until ctx ends. It returns an *OverloadedError; the
// call has then not run. The release function must be called once.
func (l *Limiter) Acquire(ctx context.Context, c *call.Call) (release func(), err error) {
	w := &waiter{order: c.Rank.Order, granted: make(chan struct{})}
	l.mu.Lock()
	l.waiting = insertByOrder(l.waiting, w)
	queued := len(l.waiting)
	l.grant()
	l.mu.Unlock()
	select {
	case <-w.granted:
		return l.release, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.remove(w) {
		l.releaseLocked()
	}
	return nil, &OverloadedError{Rank: c.Rank.Name, Queued: queued}
}

// Load returns the running and waiting calls.
func (l *Limiter) Load() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting)
}

func (l *Limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked()
}

func (l *Limiter) releaseLocked() {
	l.running--
	l.grant()
}

func (l *Limiter) grant() {
	for l.running < l.slots && len(l.waiting) > 0 {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.running++
		close(w.granted)
	}
}

func (l *Limiter) remove(w *waiter) bool {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}
