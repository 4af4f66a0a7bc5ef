package placement

import "time"

// average is a moving average of durations in seconds.
type average struct {
	mean float64
	set  bool
}

func (a *average) observe(d time.Duration, weight float64) {
	if !a.set {
		a.mean, a.set = d.Seconds(), true
		return
	}
	a.mean += weight * (d.Seconds() - a.mean)
}
