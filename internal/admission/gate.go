package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// Gate is the admission controller of one upstream: it grants slots to calls,
// queues them or refuses them. Methods take the current time; goroutines read the
// clock before they take a lock, so successive times may decrease slightly. A
// Gate is safe for concurrent use, and no method waits for a free slot.
type Gate struct {
	// notify reports the outcome of a ticket that waited: nil if it was
	// granted a slot, else why it was refused. It is called at most once per
	// ticket, without locks held.
	notify func(*Ticket, error)
	// tableMu serializes changes of table and of the configuration.
	tableMu    sync.Mutex
	table      atomic.Pointer[rankTable]
	scheduler  scheduler
	waiting    atomic.Int64
	maxWaiting atomic.Int64
	sequence   atomic.Uint64
	draining   atomic.Bool
}

// NewGate returns a gate that reports the outcomes of waiting tickets to notify.
func NewGate(limits Limits, notify func(*Ticket, error)) *Gate {
	g := &Gate{notify: notify}
	g.table.Store(&rankTable{byName: map[string]*rankEntry{}})
	g.Configure(time.Time{}, limits)
	return g
}

// Configure changes the limits; running calls are not interrupted.
func (g *Gate) Configure(now time.Time, limits Limits) {
	g.tableMu.Lock()
	if !g.table.Load().containsRanks(limits.Ranks) {
		g.table.Store(g.table.Load().withRanks(limits.Ranks))
	}
	g.scheduler.setLimits(now, limits)
	g.maxWaiting.Store(int64(limits.maxWaiting()))
	g.tableMu.Unlock()
	g.dispatch(now)
}

// Drain refuses all later calls; waiting and running ones finish.
func (g *Gate) Drain() { g.draining.Store(true) }

// Submit requests a slot. It returns true if the call may run at once. It returns
// false without an error if the ticket is queued; notify then receives its
// outcome, maybe before Submit returns. On a *DrainingError, *LateError or
// *OverloadedError the call must not run.
func (g *Gate) Submit(now time.Time, t *Ticket) (granted bool, err error) {
	if g.draining.Load() {
		return false, &DrainingError{Rank: t.Rank.Name}
	}
	t.entry, t.arrived, t.sequence = g.entryFor(t.Rank), now, g.sequence.Add(1)
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return false, &LateError{Rank: t.Rank.Name, Lateness: now.Sub(t.Deadline)}
	}
	if g.scheduler.tryReserve(now, g.table.Load(), t.entry) {
		t.started = now
		return true, nil
	}
	if err := g.checkDeadlines(now, t); err != nil {
		return false, err
	}
	if err := g.reserveQueuePlace(t); err != nil {
		return false, err
	}
	t.entry.queue.push(t)
	g.dispatch(now)
	return false, nil
}

// entryFor returns the entry of a rank, and adds the rank if it is unknown.
func (g *Gate) entryFor(rank *config.Rank) *rankEntry {
	if e, ok := g.table.Load().byName[rank.Name]; ok {
		return e
	}
	g.tableMu.Lock()
	defer g.tableMu.Unlock()
	table := g.table.Load()
	if e, ok := table.byName[rank.Name]; ok {
		return e
	}
	table = table.withAddedRank(rank)
	g.table.Store(table)
	return table.byName[rank.Name]
}

// checkDeadlines returns a *LateError if t is not expected to end in time behind
// the calls before it, or if it would make the last waiting call of its rank late.
// Without the second check, calls with earlier deadlines that arrive during a
// flood delay all accepted calls past their targets.
func (g *Gate) checkDeadlines(now time.Time, t *Ticket) error {
	deadline := t.effectiveDeadline()
	if deadline.IsZero() {
		return nil
	}
	table, moreUrgent := g.table.Load(), 0
	for _, e := range table.ordered {
		if e.rank.Order < t.entry.rank.Order {
			moreUrgent += int(e.queue.length.Load())
		}
	}
	before, length, last := t.entry.queue.position(t)
	if err := g.checkFinishTime(now, table, t, moreUrgent, before, deadline); err != nil {
		return err
	}
	if last == nil || last.effectiveDeadline().IsZero() {
		return nil
	}
	return g.checkFinishTime(now, table, t, moreUrgent, length, last.effectiveDeadline())
}

// checkFinishTime returns a *LateError if a call behind the given numbers of
// waiting calls is expected to end after deadline. If t has a soft deadline, the
// deviation of the service time is added as a margin.
func (g *Gate) checkFinishTime(now time.Time, table *rankTable, t *Ticket, moreUrgent, sameRank int, deadline time.Time) error {
	service, wait := g.scheduler.forecast(now, table, t.entry, moreUrgent, sameRank)
	if !t.SoftDeadline.IsZero() {
		service += g.scheduler.serviceTimeDeviation(now, t.entry)
	}
	if lateness := now.Add(wait + service).Sub(deadline); lateness > 0 {
		return &LateError{Rank: t.Rank.Name, Wait: wait, Service: service, Lateness: lateness}
	}
	return nil
}

// reserveQueuePlace counts t as waiting. If the queue is full, it evicts the
// last call of the rank that evictionRank returns, or refuses t if there is
// none.
func (g *Gate) reserveQueuePlace(t *Ticket) error {
	limit := g.maxWaiting.Load()
	if g.waiting.Add(1) <= limit {
		return nil
	}
	if victim := g.evictionRank(t.entry, limit); victim != nil {
		if last := victim.queue.popLast(); last != nil {
			g.waiting.Add(-1)
			g.notify(last, g.overloadedError(last))
			return nil
		}
	}
	g.waiting.Add(-1)
	return g.overloadedError(t)
}

// evictionRank returns the rank whose last waiting call is evicted for a new
// call of arriving, or nil if the new call is refused. It is the least urgent
// rank that holds more than its floor's share of the queue. A more urgent rank
// than arriving is returned only if arriving is below its own share.
func (g *Gate) evictionRank(arriving *rankEntry, limit int64) *rankEntry {
	table := g.table.Load()
	belowFloor := float64(arriving.queue.length.Load()) < arriving.rank.Floor*float64(limit)
	for i := len(table.ordered) - 1; i >= 0; i-- {
		e := table.ordered[i]
		if e.queue == arriving.queue {
			if !belowFloor {
				return nil
			}
			continue
		}
		if n := e.queue.length.Load(); n > 0 && float64(n) > e.rank.Floor*float64(limit) {
			return e
		}
	}
	return nil
}

func (g *Gate) overloadedError(t *Ticket) *OverloadedError {
	return &OverloadedError{Rank: t.Rank.Name, Waiting: int(g.waiting.Load())}
}

// dispatch grants free slots to waiting tickets. It reserves a slot before it
// removes a ticket from the queue, so that concurrent dispatches cannot exceed
// the slots. If the queue has become empty meanwhile, it releases the slot and
// tries again.
func (g *Gate) dispatch(now time.Time) {
	for {
		table := g.table.Load()
		e := g.scheduler.reserve(now, table)
		if e == nil {
			return
		}
		t := e.queue.popFirst()
		if t == nil {
			g.scheduler.release(now, table, e, 0, false)
			continue
		}
		g.waiting.Add(-1)
		if err := g.checkOnDequeue(now, t); err != nil {
			g.scheduler.release(now, table, e, 0, false)
			g.notify(t, err)
			continue
		}
		t.started = now
		g.notify(t, nil)
	}
}

// checkOnDequeue returns a *LateError if a call that leaves the queue can no
// longer end by its deadline. If other calls of its rank wait, it must also meet
// its effective deadline, because the others may still meet theirs.
func (g *Gate) checkOnDequeue(now time.Time, t *Ticket) error {
	limit := t.Deadline
	if !t.entry.queueEmpty() {
		limit = t.effectiveDeadline()
	}
	if limit.IsZero() {
		return nil
	}
	service, _ := g.scheduler.forecast(now, g.table.Load(), t.entry, 0, 0)
	if lateness := now.Add(service).Sub(limit); lateness > 0 {
		return &LateError{Rank: t.Rank.Name, Service: service, Lateness: lateness}
	}
	return nil
}

// latestStart returns when a waiting call has to start to end by its deadline.
// The estimated service time counts for at most half of the remaining time, so
// that an estimate that is too high does not refuse the call at once.
func (g *Gate) latestStart(now time.Time, t *Ticket) time.Time {
	service, _ := g.scheduler.forecast(now, g.table.Load(), t.entry, 0, 0)
	return t.Deadline.Add(-min(service, t.Deadline.Sub(now)/2))
}

// Cancel removes a waiting ticket and reports whether it was still waiting. If
// not, notify has been or is being called for it.
func (g *Gate) Cancel(t *Ticket) bool {
	if !t.entry.queue.cancel(t) {
		return false
	}
	g.waiting.Add(-1)
	return true
}

// Release frees the slot of a granted ticket; repeated calls have no effect.
func (g *Gate) Release(now time.Time, t *Ticket) { g.free(now, t, true) }

// Withdraw is like Release for a ticket whose call has not run: the time that it
// held the slot says nothing about the service time.
func (g *Gate) Withdraw(now time.Time, t *Ticket) { g.free(now, t, false) }

func (g *Gate) free(now time.Time, t *Ticket, ran bool) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	g.scheduler.release(now, g.table.Load(), t.entry, now.Sub(t.started), ran)
	g.dispatch(now)
}

// PaceDelay returns how long the named limit of calls per second delays the first
// waiting call, and false if no call waits for it. After the delay, the caller
// must call Dispatch.
func (g *Gate) PaceDelay(now time.Time) (time.Duration, bool) {
	if g.waiting.Load() == 0 {
		return 0, false
	}
	return g.scheduler.paceDelay(now)
}

// Dispatch grants free slots to waiting tickets; see PaceDelay.
func (g *Gate) Dispatch(now time.Time) { g.dispatch(now) }

// AllowRepeat reports whether a call that holds a slot may be sent to the upstream
// once more under the named limit, and counts it.
func (g *Gate) AllowRepeat(now time.Time) bool { return g.scheduler.takePace(now) }

// Report returns the current load, which is sent along with responses.
func (g *Gate) Report() LoadReport {
	limits, running := g.scheduler.snapshot()
	return LoadReport{
		Running: running, Waiting: int(g.waiting.Load()), Slots: limits.Slots, CallsPerSecond: limits.CallsPerSecond,
		Draining: g.draining.Load(),
	}
}

// ServiceTime returns how long a call of a rank is expected to run.
func (g *Gate) ServiceTime(now time.Time, rank *config.Rank) time.Duration {
	service, _ := g.scheduler.forecast(now, g.table.Load(), g.entryFor(rank), 0, 0)
	return service
}
