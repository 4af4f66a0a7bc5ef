package effect

import "time"

// StartTimer schedules a timer to fire once. Timers cannot be cancelled; the
// control logic ignores a timer that fires after it became irrelevant.
type StartTimer struct {
	Delay time.Duration
	Timer Timer
}

func (StartTimer) effect() {}
