package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// Gate decides which calls run on an upstream. Time comes in as an argument
// and must not go back by more than scheduling noise. It is safe for
// concurrent use and never blocks on a slot.
type Gate struct {
	// settle tells a waiting ticket its outcome: nil, or why it did not run.
	// It is called once per waiting ticket, without locks held.
	settle func(*Ticket, error)
	// tableMu serializes changes of table and of the configuration.
	tableMu  sync.Mutex
	table    atomic.Pointer[rankTable]
	ledger   ledger
	waiting  atomic.Int64
	maxWait  atomic.Int64
	sequence atomic.Uint64
	draining atomic.Bool
}

// NewGate returns a gate that reports outcomes of waiting tickets to settle.
func NewGate(limits Limits, settle func(*Ticket, error)) *Gate {
	g := &Gate{settle: settle}
	g.table.Store(&rankTable{byName: map[string]*rankEntry{}})
	g.Configure(time.Time{}, limits)
	return g
}

// Configure changes the limits; running calls are not interrupted.
func (g *Gate) Configure(now time.Time, limits Limits) {
	g.tableMu.Lock()
	if !g.table.Load().sameRanks(limits.Ranks) {
		g.table.Store(g.table.Load().with(limits.Ranks))
	}
	g.ledger.setLimits(limits)
	g.maxWait.Store(int64(limits.maxWaiting()))
	g.tableMu.Unlock()
	g.dispatch(now)
}

// Drain refuses all later calls; waiting and running ones finish.
func (g *Gate) Drain() { g.draining.Store(true) }

// Submit asks for a slot. It returns true if the call may run at once, false
// if settle will tell. It returns a *DrainingError, *LateError or
// *OverloadedError; the call must then not run.
func (g *Gate) Submit(now time.Time, t *Ticket) (granted bool, err error) {
	if g.draining.Load() {
		return false, &DrainingError{Rank: t.Rank.Name}
	}
	t.entry, t.arrived, t.sequence = g.entry(t.Rank), now, g.sequence.Add(1)
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return false, &LateError{Rank: t.Rank.Name, Lateness: now.Sub(t.Deadline)}
	}
	if g.ledger.tryReserve(now, g.table.Load(), t.entry) {
		t.started = now
		return true, nil
	}
	if err := g.checkDue(now, t); err != nil {
		return false, err
	}
	if err := g.makeRoom(t); err != nil {
		return false, err
	}
	t.entry.queue.push(t)
	g.dispatch(now)
	return false, nil
}

func (g *Gate) entry(rank *config.Rank) *rankEntry {
	if e, ok := g.table.Load().byName[rank.Name]; ok {
		return e
	}
	g.tableMu.Lock()
	defer g.tableMu.Unlock()
	table := g.table.Load()
	if e, ok := table.byName[rank.Name]; ok {
		return e
	}
	table = table.adding(rank)
	g.table.Store(table)
	return table.byName[rank.Name]
}

// checkDue refuses a call that cannot be useful behind the calls before it, or
// that would make a call late which already waits. Without the second check
// calls with earlier deadlines keep coming in during a flood and delay all
// accepted ones past their targets.
func (g *Gate) checkDue(now time.Time, t *Ticket) error {
	due := t.due()
	if due.IsZero() {
		return nil
	}
	table, urgent := g.table.Load(), 0
	for _, e := range table.ordered {
		if e.rank.Order < t.entry.rank.Order {
			urgent += int(e.queue.length.Load())
		}
	}
	before, length, last := t.entry.queue.position(t)
	if err := g.checkPlace(now, table, t, urgent, before, due); err != nil {
		return err
	}
	if last == nil || last.due().IsZero() {
		return nil
	}
	return g.checkPlace(now, table, t, urgent, length, last.due())
}

func (g *Gate) checkPlace(now time.Time, table *rankTable, t *Ticket, urgent, same int, due time.Time) error {
	service, wait := g.ledger.forecast(now, table, t.entry, urgent, same)
	if !t.SoftDeadline.IsZero() {
		service += g.ledger.spread(now, t.entry)
	}
	if over := now.Add(wait + service).Sub(due); over > 0 {
		return &LateError{Rank: t.Rank.Name, Wait: wait, Service: service, Lateness: over}
	}
	return nil
}

// makeRoom counts t as waiting. When the queue is full it refuses the call
// that waits longest from now in the least urgent rank above its floor's share
// of the queue, which may be t itself.
func (g *Gate) makeRoom(t *Ticket) error {
	limit := g.maxWait.Load()
	if g.waiting.Add(1) <= limit {
		return nil
	}
	if victim := g.victim(t.entry, limit); victim != nil {
		if last := victim.queue.popLast(); last != nil {
			g.waiting.Add(-1)
			g.settle(last, g.overloaded(last))
			return nil
		}
	}
	g.waiting.Add(-1)
	return g.overloaded(t)
}

func (g *Gate) victim(arriving *rankEntry, limit int64) *rankEntry {
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

func (g *Gate) overloaded(t *Ticket) *OverloadedError {
	return &OverloadedError{Rank: t.Rank.Name, Queued: int(g.waiting.Load())}
}

// dispatch fills the free slots. The slot is taken before the ticket, so that
// concurrent dispatches cannot exceed the slots; a slot taken for a ticket
// that is gone is returned and the choice repeated.
func (g *Gate) dispatch(now time.Time) {
	for {
		table := g.table.Load()
		e := g.ledger.reserve(now, table)
		if e == nil {
			return
		}
		t := e.queue.popFirst()
		if t == nil {
			g.ledger.release(now, table, e, 0)
			continue
		}
		g.waiting.Add(-1)
		if err := g.expired(now, t); err != nil {
			g.ledger.release(now, table, e, 0)
			g.settle(t, err)
			continue
		}
		t.started = now
		g.settle(t, nil)
	}
}

// expired refuses a waiting call that could only end after its deadline, or
// after its target while calls wait behind it that can still meet theirs.
func (g *Gate) expired(now time.Time, t *Ticket) error {
	limit := t.Deadline
	if !t.entry.idle() {
		limit = t.due()
	}
	if limit.IsZero() {
		return nil
	}
	service, _ := g.ledger.forecast(now, g.table.Load(), t.entry, 0, 0)
	if over := now.Add(service).Sub(limit); over > 0 {
		return &LateError{Rank: t.Rank.Name, Service: service, Lateness: over}
	}
	return nil
}

// lastStart returns when a waiting call has to start to end by its deadline.
// An estimate above half of the time left is not trusted with more.
func (g *Gate) lastStart(now time.Time, t *Ticket) time.Time {
	service, _ := g.ledger.forecast(now, g.table.Load(), t.entry, 0, 0)
	return t.Deadline.Add(-min(service, t.Deadline.Sub(now)/2))
}

// Cancel withdraws a waiting ticket and reports whether it was still waiting.
// If not, its outcome has been or is being settled.
func (g *Gate) Cancel(t *Ticket) bool {
	if !t.entry.queue.cancel(t) {
		return false
	}
	g.waiting.Add(-1)
	return true
}

// Release returns the slot of a granted ticket; later calls have no effect.
func (g *Gate) Release(now time.Time, t *Ticket) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	g.ledger.release(now, g.table.Load(), t.entry, now.Sub(t.started))
	g.dispatch(now)
}

// Report returns the load for answers to senders.
func (g *Gate) Report() Report {
	limits, running := g.ledger.snapshot()
	return Report{Running: running, Waiting: int(g.waiting.Load()), Slots: limits.Slots, Draining: g.draining.Load()}
}

// ServiceTime returns how long a call of a rank is expected to run.
func (g *Gate) ServiceTime(now time.Time, rank *config.Rank) time.Duration {
	service, _ := g.ledger.forecast(now, g.table.Load(), g.entry(rank), 0, 0)
	return service
}
