package effect

import "time"

// StartTimer asks for a timer firing. Timers are not cancelled; the control
// logic ignores firings that no longer matter.
type StartTimer struct {
	Delay time.Duration
	Timer Timer
}

func (StartTimer) effect() {}
