package admission

import (
	"context"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// Limiter lets goroutines wait at a Gate. It is safe for concurrent use.
type Limiter struct {
	gate *Gate
	now  func() time.Time
	// ready reuses the channels that waiting calls block on. Each carries one
	// outcome per use and is empty when it is put back.
	ready sync.Pool
	// mu guards limits.
	mu     sync.Mutex
	limits Limits
}

// NewLimiter returns a limiter for an upstream with a number of slots.
func NewLimiter(slots int) *Limiter { return NewLimiterWith(Limits{Slots: slots}, time.Now) }

// NewLimiterWith returns a limiter that reads the time from now.
func NewLimiterWith(limits Limits, now func() time.Time) *Limiter {
	return &Limiter{
		gate:   NewGate(limits, func(t *Ticket, err error) { t.ready <- err }),
		now:    now,
		limits: limits,
		ready:  sync.Pool{New: func() any { return make(chan error, 1) }},
	}
}

// SetSlots changes the number of slots; running calls are not interrupted.
func (l *Limiter) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.Slots != slots {
		l.limits.Slots = slots
		l.gate.Configure(l.now(), l.limits)
	}
}

// SetLimits changes slots, connections and ranks. It is cheap when nothing
// changed, so it may be called for each call.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.equal(limits) {
		return
	}
	l.limits = limits
	l.gate.Configure(l.now(), limits)
}

// Drain refuses all later calls; waiting and running ones finish.
func (l *Limiter) Drain() { l.gate.Drain() }

// Acquire waits for a slot until ctx or the call's deadline ends. It returns
// an *OverloadedError, *LateError, *DrainingError or *CanceledError; the call
// has then not run. The release function must be called; repeating it has no
// effect.
func (l *Limiter) Acquire(ctx context.Context, c *call.Call) (release func(), err error) {
	t := &Ticket{Rank: c.Rank, Deadline: c.Deadline, SoftDeadline: c.SoftDeadline, ready: l.ready.Get().(chan error)}
	granted, err := l.gate.Submit(l.now(), t)
	if err == nil && !granted {
		err = l.wait(ctx, t)
	}
	l.ready.Put(t.ready)
	if err != nil {
		return nil, err
	}
	return func() { l.gate.Release(l.now(), t) }, nil
}

// wait leaves t.ready empty.
func (l *Limiter) wait(ctx context.Context, t *Ticket) error {
	select {
	case err := <-t.ready:
		return err
	default:
	}
	var expiry <-chan time.Time
	if !t.Deadline.IsZero() {
		timer := time.NewTimer(l.gate.lastStart(l.now(), t).Sub(l.now()))
		defer timer.Stop()
		expiry = timer.C
	}
	var ended error
	select {
	case err := <-t.ready:
		return err
	case <-ctx.Done():
		ended = &CanceledError{Rank: t.Rank.Name, Err: context.Cause(ctx)}
	case <-expiry:
		ended = &LateError{Rank: t.Rank.Name}
	}
	if !l.gate.Cancel(t) && <-t.ready == nil {
		l.gate.Release(l.now(), t)
	}
	return ended
}

// Load returns the running and waiting calls.
func (l *Limiter) Load() (running, waiting int) {
	r := l.gate.Report()
	return r.Running, r.Waiting
}

// Report returns the load for answers to senders.
func (l *Limiter) Report() Report { return l.gate.Report() }

// ServiceTime returns how long a call of a rank is expected to run.
func (l *Limiter) ServiceTime(rank *config.Rank) time.Duration {
	return l.gate.ServiceTime(l.now(), rank)
}
