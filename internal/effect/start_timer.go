package effect

import "time"

// StartTimer schedules a timer to fire once. Timers cannot be canceled; the
// control logic ignores a timer that is no longer relevant when it fires.
type StartTimer struct {
	Delay time.Duration
	Timer Timer
}

func (StartTimer) effect() {}
