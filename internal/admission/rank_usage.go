package admission

import (
	"math"
	"time"
)

// rankUsage tracks how a rank uses the slots, guarded by the scheduler's lock.
type rankUsage struct {
	running int
	// startSum is the sum of the start times of the running calls, each
	// relative to the scheduler's base.
	startSum time.Duration
	// credit is the slot time in seconds by which the rank is behind its
	// floor; negative when it is ahead.
	credit  float64
	service serviceTime
	// meanRunning is a moving average of running.
	meanRunning float64
}

// usageTimeConstant is the time constant of meanRunning. It is longer than
// service times and shorter than bursts.
const usageTimeConstant = time.Second

// maxCreditSeconds bounds a rank's credit to what its floor yields in this many
// seconds. A larger bound prolongs the burst of the rank after a shortage.
const maxCreditSeconds = 1.0

// advance updates the credit and the average for elapsed time. The credit grows
// by the floor while calls of the rank wait, and shrinks by the rank's running
// calls while calls of other ranks wait. A positive credit is lost when no call
// of the rank waits. A negative one is limited to the slot time of one call,
// which keeps floors below one slot exact; without this limit, a rank that had
// run more calls than its floor would lose the floor when a flood begins.
func (u *rankUsage) advance(now time.Time, floorSlots float64, waiting, contended bool, elapsed time.Duration) {
	dt := elapsed.Seconds()
	u.updateMeanRunning(elapsed)
	if waiting {
		u.credit += floorSlots * dt
	}
	if contended {
		u.credit -= float64(u.running) * dt
	}
	if !waiting && u.credit > 0 {
		u.credit = 0
	}
	maxAhead := u.service.estimate(now).Seconds()
	u.credit = min(max(u.credit, -maxAhead), maxCreditSeconds*floorSlots)
}

// addRunning counts a call that started at the given time since the base.
func (u *rankUsage) addRunning(started time.Duration) {
	u.running++
	u.startSum += started
}

// removeRunning reverts addRunning; started must be the same.
func (u *rankUsage) removeRunning(started time.Duration) {
	u.running--
	u.startSum -= started
}

// meanAge returns how long the running calls have run on average, or zero if
// none runs; since is the current time relative to the base.
func (u *rankUsage) meanAge(since time.Duration) time.Duration {
	if u.running == 0 {
		return 0
	}
	return since - u.startSum/time.Duration(u.running)
}

func (u *rankUsage) updateMeanRunning(elapsed time.Duration) {
	if elapsed > 0 {
		u.meanRunning += (float64(u.running) - u.meanRunning) * (1 - math.Exp(-elapsed.Seconds()/usageTimeConstant.Seconds()))
	}
}
