package effect

import "time"

// StartTimer asks for a timer firing. Timers are not cancelled; the control
// logic ignores firings that no longer matter.
type StartTimer struct {
	After time.Duration
	Timer Timer
}

func (StartTimer) effect() {}
