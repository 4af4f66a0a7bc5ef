package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// minPaceDelay is the shortest delay of a timer that waits for the limit of calls
// per second.
const minPaceDelay = time.Millisecond

// Limiter blocks goroutines until a Gate grants or refuses their calls. It is
// safe for concurrent use.
type Limiter struct {
	gate *Gate
	now  func() time.Time
	// outcomePool holds the channels that waiting calls block on. A channel
	// carries at most one outcome per use and is empty when it is put back.
	outcomePool sync.Pool
	// mu guards limits.
	mu     sync.Mutex
	limits Limits
	// paceTimerSet is set while a timer is pending that grants slots to calls
	// that wait for the limit of calls per second.
	paceTimerSet atomic.Bool
}

// NewLimiter returns a limiter for an upstream with a number of slots.
func NewLimiter(slots int) *Limiter { return NewLimiterWithClock(Limits{Slots: slots}, time.Now) }

// NewLimiterWithClock returns a limiter that reads the time from now.
func NewLimiterWithClock(limits Limits, now func() time.Time) *Limiter {
	return &Limiter{
		gate:        NewGate(limits, func(t *Ticket, err error) { t.outcome <- err }),
		now:         now,
		limits:      limits,
		outcomePool: sync.Pool{New: func() any { return make(chan error, 1) }},
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

// SetLimits changes slots, connections and ranks. It is cheap if nothing has
// changed, so it may be invoked for every call.
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

// Acquire waits for a slot until ctx ends or the call can no longer end by its
// deadline. A call whose caller has left by then gets no slot. On an
// *OverloadedError, *LateError, *DrainingError or *CanceledError the call must not
// run. Otherwise release must be called when the call has ended; repeated calls have
// no effect.
func (l *Limiter) Acquire(ctx context.Context, c *call.Call) (release func(), err error) {
	t := &Ticket{Rank: c.Rank, Deadline: c.Deadline, SoftDeadline: c.SoftDeadline, outcome: l.outcomePool.Get().(chan error)}
	granted, err := l.gate.Submit(l.now(), t)
	if err == nil && !granted {
		l.startPaceTimer()
		err = l.wait(ctx, t)
	}
	l.outcomePool.Put(t.outcome)
	if err == nil {
		err = l.refuseIfCallerLeft(ctx, c, t)
	}
	if err != nil {
		return nil, err
	}
	return func() {
		l.gate.Release(l.now(), t)
		l.startPaceTimer()
	}, nil
}

// refuseIfCallerLeft gives the slot of a granted call back and returns a
// *CanceledError if its caller has left. The context of a call that was read after its
// caller had left ends only later.
func (l *Limiter) refuseIfCallerLeft(ctx context.Context, c *call.Call, t *Ticket) error {
	if ctx.Err() != context.Canceled && (c.Caller == nil || !c.Caller.Closed()) {
		return nil
	}
	l.gate.Withdraw(l.now(), t)
	l.startPaceTimer()
	return &CanceledError{Rank: c.Rank.Name, Granted: true, Err: context.Cause(ctx)}
}

// startPaceTimer starts a timer for the first call that waits for the limit of
// calls per second, unless there is none or a timer is pending.
func (l *Limiter) startPaceTimer() {
	delay, waits := l.gate.PaceDelay(l.now())
	if !waits || l.paceTimerSet.Swap(true) {
		return
	}
	time.AfterFunc(max(delay, minPaceDelay), func() {
		l.paceTimerSet.Store(false)
		l.gate.Dispatch(l.now())
		l.startPaceTimer()
	})
}

// AllowRepeat reports whether a call that holds a slot may be sent to the upstream
// once more under the limit of calls per second, and counts it.
func (l *Limiter) AllowRepeat() bool { return l.gate.AllowRepeat(l.now()) }

// wait blocks until t is granted or refused, ctx ends or it is too late for the
// call to start. It leaves t.outcome empty, so that the channel can be reused.
func (l *Limiter) wait(ctx context.Context, t *Ticket) error {
	select {
	case err := <-t.outcome:
		return err
	default:
	}
	var expiry <-chan time.Time
	if !t.Deadline.IsZero() {
		timer := time.NewTimer(l.gate.latestStart(l.now(), t).Sub(l.now()))
		defer timer.Stop()
		expiry = timer.C
	}
	var refusal error
	select {
	case err := <-t.outcome:
		return err
	case <-ctx.Done():
		refusal = &CanceledError{Rank: t.Rank.Name, Err: context.Cause(ctx)}
	case <-expiry:
		refusal = &LateError{Rank: t.Rank.Name}
	}
	if !l.gate.Cancel(t) && <-t.outcome == nil {
		l.gate.Withdraw(l.now(), t)
	}
	return refusal
}

// Load returns the numbers of running and waiting calls.
func (l *Limiter) Load() (running, waiting int) {
	r := l.gate.Report()
	return r.Running, r.Waiting
}

// Report returns the current load, which is sent along with responses.
func (l *Limiter) Report() LoadReport { return l.gate.Report() }

// ServiceTime returns how long a call of a rank is expected to run.
func (l *Limiter) ServiceTime(rank *config.Rank) time.Duration {
	return l.gate.ServiceTime(l.now(), rank)
}
