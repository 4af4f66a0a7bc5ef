package admission

import (
	"sync"
	"time"
)

// ledger keeps the slots of an upstream and each rank's use of them.
type ledger struct {
	// mu guards limits, running, advancedAt and the accounts of all ranks.
	mu         sync.Mutex
	limits     Limits
	running    int
	advancedAt time.Time
	// base is the time of the first call; starts are kept relative to it.
	base time.Time
}

// reserve takes a free slot for the rank that goes next, or returns nil.
func (l *ledger) reserve(now time.Time, table *rankTable) *rankEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.limits.maxRunning() {
		return nil
	}
	l.advance(now, table)
	next := l.next(table)
	if next == nil {
		return nil
	}
	l.running++
	next.account.begin(l.since(now))
	return next
}

// tryReserve takes a free slot for a rank if no call waits.
func (l *ledger) tryReserve(now time.Time, table *rankTable, e *rankEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.limits.maxRunning() || table.anyWaiting(nil) {
		return false
	}
	l.advance(now, table)
	l.running++
	e.account.begin(l.since(now))
	return true
}

// next returns the rank furthest behind its floor, else the most urgent rank
// that has work.
func (l *ledger) next(table *rankTable) *rankEntry {
	var first, owed *rankEntry
	var most float64
	for _, e := range table.ordered {
		if e.idle() {
			continue
		}
		if first == nil {
			first = e
		}
		if e.rank.Floor <= 0 || e.account.credit <= 0 || float64(e.account.running) >= l.floorSlots(e) {
			continue
		}
		if behind := e.account.credit / e.rank.Floor; behind > most {
			owed, most = e, behind
		}
	}
	if owed != nil {
		return owed
	}
	return first
}

// floorSlots is a rank's floor in slots. A floor that is not a whole number is
// kept on average: the rank runs one more call while its credit is positive.
func (l *ledger) floorSlots(e *rankEntry) float64 { return e.rank.Floor * float64(l.limits.Slots) }

func (l *ledger) advance(now time.Time, table *rankTable) {
	elapsed := now.Sub(l.advancedAt)
	if l.advancedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	l.advancedAt = now
	for _, e := range table.ordered {
		if e.rank.Floor > 0 {
			e.account.advance(now, l.floorSlots(e), !e.idle(), table.anyWaiting(e), elapsed)
		} else {
			e.account.observeUse(elapsed)
		}
	}
}

// release returns a slot. A positive ran is a sample of the service time.
func (l *ledger) release(now time.Time, table *rankTable, e *rankEntry, ran time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now, table)
	l.running--
	e.account.end(l.since(now) - ran)
	if ran > 0 {
		e.account.service.observe(now, ran)
	}
}

// forecast returns the expected service time of a rank and the expected wait
// behind a number of more urgent calls and of calls of the same rank. The
// floors of other ranks with work are not available to the rank.
func (l *ledger) forecast(now time.Time, table *rankTable, e *rankEntry, urgent, same int) (service, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	service = l.serviceTime(now, e)
	slots := float64(l.limits.maxRunning())
	if slots == 0 {
		return service, 0
	}
	per := float64(service)
	left := slots * (1 - table.floorsBeside(e)) * (1 - l.urgentUse(table, e)/slots)
	byOrder := per * float64(urgent+same+1) / left
	if e.rank.Floor > 0 {
		byFloor := per * float64(same+1) / (slots * e.rank.Floor)
		byOrder = min(byOrder, byFloor)
	}
	return service, time.Duration(byOrder)
}

// serviceTime returns how long a call of a rank is expected to run. Calls that
// run already tell sooner than ended ones that an upstream has turned slow or
// started cold.
func (l *ledger) serviceTime(now time.Time, e *rankEntry) time.Duration {
	estimate := e.account.service.estimate(now)
	if 2*e.account.running >= l.limits.maxRunning() {
		estimate = max(estimate, e.account.age(l.since(now)))
	}
	return estimate
}

// since returns a time relative to the ledger's base.
func (l *ledger) since(now time.Time) time.Duration {
	if l.base.IsZero() {
		l.base = now
	}
	return now.Sub(l.base)
}

// urgentUse returns the slots that calls of more urgent ranks use lately: later
// calls of these ranks will overtake a waiting one. Without it less urgent calls
// are accepted in a shortage and then wait until their deadline.
func (l *ledger) urgentUse(table *rankTable, e *rankEntry) float64 {
	use := 0.0
	for _, other := range table.ordered {
		if other.rank.Order < e.rank.Order {
			use += other.account.use
		}
	}
	return min(use, maxUrgentUse*float64(l.limits.maxRunning()))
}

// maxUrgentUse keeps a forecast finite when more urgent ranks use all slots.
const maxUrgentUse = 0.95

// spread returns by how much the service time of a rank varies.
func (l *ledger) spread(now time.Time, e *rankEntry) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.account.service.spread(now)
}

func (l *ledger) setLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

func (l *ledger) snapshot() (limits Limits, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits, l.running
}
