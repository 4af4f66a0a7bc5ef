package admission

import (
	"sync"
	"time"
)

// scheduler allocates the slots of an upstream to ranks.
type scheduler struct {
	// mu guards the other fields and the usage of all ranks.
	mu      sync.Mutex
	limits  Limits
	pace    pace
	running int
	// service is the service time of all ranks together.
	service serviceTime
	// advancedAt is the time up to which the usage of the ranks is counted.
	advancedAt time.Time
	// base is the time of the first call of sinceBase.
	base time.Time
}

// reserve takes a free slot for the next rank and returns the rank, or nil if
// no slot is free, no call waits or the pace permits no call yet.
func (s *scheduler) reserve(now time.Time, table *rankTable) *rankEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.limits.maxRunning() {
		return nil
	}
	s.advance(now, table)
	next := s.nextRank(now, table)
	if next == nil || !s.pace.take(now) {
		return nil
	}
	s.running++
	next.usage.addRunning(s.sinceBase(now))
	return next
}

// tryReserve takes a free slot for e and reports whether it did. It never does
// so while calls wait.
func (s *scheduler) tryReserve(now time.Time, table *rankTable, e *rankEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.limits.maxRunning() || table.anyWaitingExcept(nil) || !s.pace.take(now) {
		return false
	}
	s.advance(now, table)
	s.running++
	e.usage.addRunning(s.sinceBase(now))
	return true
}

// nextRank returns the rank with waiting calls that is furthest behind its floor
// or, if none is behind, the most urgent one.
func (s *scheduler) nextRank(now time.Time, table *rankTable) *rankEntry {
	var mostUrgent, mostBehind *rankEntry
	var maxBehind float64
	for _, e := range table.ordered {
		if e.queueEmpty() {
			continue
		}
		if mostUrgent == nil {
			mostUrgent = e
		}
		if e.rank.Floor <= 0 || e.usage.credit <= 0 || float64(e.usage.running) >= s.floorSlots(now, e) {
			continue
		}
		if behind := e.usage.credit / e.rank.Floor; behind > maxBehind {
			mostBehind, maxBehind = e, behind
		}
	}
	if mostBehind != nil {
		return mostBehind
	}
	return mostUrgent
}

// floorSlots returns a rank's floor in slots. A fractional floor is met on
// average: the rank runs one more call while its credit is positive.
func (s *scheduler) floorSlots(now time.Time, e *rankEntry) float64 {
	return e.rank.Floor * s.pacedSlots(float64(s.limits.Slots), e.usage.service.estimate(now))
}

// pacedSlots returns how many of the slots the pace lets calls of the given
// service time occupy on average.
func (s *scheduler) pacedSlots(slots float64, service time.Duration) float64 {
	if !s.pace.limited() || service <= 0 {
		return slots
	}
	return min(slots, s.pace.perSecond*service.Seconds())
}

// advance brings the usage of all ranks up to now.
func (s *scheduler) advance(now time.Time, table *rankTable) {
	elapsed := now.Sub(s.advancedAt)
	if s.advancedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	s.advancedAt = now
	for _, e := range table.ordered {
		if e.rank.Floor > 0 {
			e.usage.advance(now, s.floorSlots(now, e), !e.queueEmpty(), table.anyWaitingExcept(e), elapsed)
		} else {
			e.usage.updateMeanRunning(elapsed)
		}
	}
}

// release frees a slot of e that was held for the given time. If a call ran, that
// time is a sample of the service time; if none did, the next one need not wait for
// the pace.
func (s *scheduler) release(now time.Time, table *rankTable, e *rankEntry, held time.Duration, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now, table)
	s.running--
	e.usage.removeRunning(s.sinceBase(now) - held)
	if ran && held > 0 {
		e.usage.service.observe(now, held)
		s.service.observe(now, held)
	} else {
		s.pace.giveBack()
	}
}

// forecast returns the expected service time of a call of e, and its expected
// wait behind moreUrgent calls of more urgent ranks and sameRank calls of its
// own. The call cannot use slots that floors reserve for less urgent ranks with
// waiting calls, or that more urgent ranks keep busy. The floor of e bounds the
// wait.
func (s *scheduler) forecast(now time.Time, table *rankTable, e *rankEntry, moreUrgent, sameRank int) (service, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service = s.serviceTime(now, e)
	slots := s.pacedSlots(float64(s.limits.maxRunning()), service)
	if slots == 0 {
		return service, 0
	}
	if service == 0 && s.pace.limited() {
		return service, s.pace.untilNext(now) + time.Duration(float64(moreUrgent+sameRank)/s.pace.perSecond*float64(time.Second))
	}
	perCall := float64(service)
	availableSlots := slots * (1 - table.lessUrgentFloors(e)) * (1 - s.moreUrgentSlots(table, e, slots)/slots)
	waitByOrder := perCall * float64(moreUrgent+sameRank+1) / availableSlots
	if e.rank.Floor > 0 {
		waitByFloor := perCall * float64(sameRank+1) / (slots * e.rank.Floor)
		waitByOrder = min(waitByOrder, waitByFloor)
	}
	return service, time.Duration(waitByOrder)
}

// serviceTime returns how long a call of a rank is expected to run. If the rank
// uses at least half of the slots, the mean age of its running calls is a lower
// bound: it reveals a slow or cold upstream before the first of them ends.
func (s *scheduler) serviceTime(now time.Time, e *rankEntry) time.Duration {
	estimate := e.usage.service.estimateBeside(now, s.service.estimate(now))
	if 2*e.usage.running >= s.limits.maxRunning() {
		estimate = max(estimate, e.usage.meanAge(s.sinceBase(now)))
	}
	return estimate
}

// sinceBase returns now relative to base, which it sets when first used.
func (s *scheduler) sinceBase(now time.Time) time.Duration {
	if s.base.IsZero() {
		s.base = now
	}
	return now.Sub(s.base)
}

// moreUrgentSlots returns the recent mean number of the available slots used by
// ranks more urgent than e, whose later calls will overtake a waiting call of e.
// If it were ignored, less urgent calls would be accepted in a shortage and wait
// until their deadline.
func (s *scheduler) moreUrgentSlots(table *rankTable, e *rankEntry, available float64) float64 {
	slots := 0.0
	for _, other := range table.ordered {
		if other.rank.Order < e.rank.Order {
			slots += other.usage.meanRunning
		}
	}
	return min(slots, maxMoreUrgentShare*available)
}

// maxMoreUrgentShare keeps a forecast finite if more urgent ranks use all slots.
const maxMoreUrgentShare = 0.95

// serviceTimeDeviation returns the mean deviation of a rank's service time.
func (s *scheduler) serviceTimeDeviation(now time.Time, e *rankEntry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.usage.service.meanDeviation(now)
}

func (s *scheduler) setLimits(now time.Time, limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.pace.set(now, limits.CallsPerSecond)
}

// takePace counts a call that starts without a slot of its own and reports
// whether the pace permits it.
func (s *scheduler) takePace(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.take(now)
}

// paceDelay returns how long the pace delays the next call, and false if nothing
// but a free slot delays it.
func (s *scheduler) paceDelay(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pace.limited() || s.running >= s.limits.maxRunning() {
		return 0, false
	}
	return s.pace.untilNext(now), true
}

func (s *scheduler) snapshot() (limits Limits, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits, s.running
}
