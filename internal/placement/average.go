package placement

import "time"

// average is an exponentially weighted moving average of durations.
type average struct {
	mean        float64 // in seconds
	initialized bool
}

func (a *average) observe(d time.Duration, weight float64) {
	if !a.initialized {
		a.mean, a.initialized = d.Seconds(), true
		return
	}
	a.mean += weight * (d.Seconds() - a.mean)
}
