package admission

import (
	"math"
	"time"
)

// account is a rank's use of the slots, guarded by the ledger's lock.
type account struct {
	running int
	// startedSum is the sum of the starts of the running calls, as times since
	// the ledger's base.
	startedSum time.Duration
	// credit is the slot time in seconds by which the rank is behind its
	// floor; negative when it is ahead.
	credit  float64
	service serviceTime
	// use is the mean number of slots that the rank has used lately.
	use float64
}

// useMemory is the time over which the use of slots is averaged. It is long
// against service times and short against bursts.
const useMemory = time.Second

// creditLimit bounds the slot time that a rank can be behind its floor, in
// seconds of its floor. A longer memory makes a burst after a shortage longer.
const creditLimit = 1.0

// advance accounts for elapsed time. A rank can be ahead by one call only,
// which keeps floors below one slot exact; repaying slots that were free
// anyway would take the floor away when a flood begins.
func (a *account) advance(now time.Time, floorSlots float64, waiting, contended bool, elapsed time.Duration) {
	dt := elapsed.Seconds()
	a.observeUse(elapsed)
	if waiting {
		a.credit += floorSlots * dt
	}
	if contended {
		a.credit -= float64(a.running) * dt
	}
	if !waiting && a.credit > 0 {
		a.credit = 0
	}
	ahead := a.service.estimate(now).Seconds()
	a.credit = min(max(a.credit, -ahead), creditLimit*floorSlots)
}

// begin and end count a running call that started at a time since the base.
func (a *account) begin(started time.Duration) {
	a.running++
	a.startedSum += started
}

func (a *account) end(started time.Duration) {
	a.running--
	a.startedSum -= started
}

// age returns how long the running calls have run on average; zero without any.
func (a *account) age(since time.Duration) time.Duration {
	if a.running == 0 {
		return 0
	}
	return since - a.startedSum/time.Duration(a.running)
}

func (a *account) observeUse(elapsed time.Duration) {
	if elapsed > 0 {
		a.use += (float64(a.running) - a.use) * (1 - math.Exp(-elapsed.Seconds()/useMemory.Seconds()))
	}
}
