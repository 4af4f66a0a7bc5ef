package admission

import "time"

// serviceTime is a moving estimate of how long calls of a rank run.
type serviceTime struct {
	mean, deviation float64
	sampledAt       time.Time
	samples         int
}

const (
	// serviceTimeWeight is the weight of a new sample; about the last 16
	// calls count, which follows a cold start within a fraction of a second.
	serviceTimeWeight = 1.0 / 16
	// serviceTimeHalfLife halves the estimate while no call finishes.
	// Otherwise one slow period could refuse all calls and thereby keep the
	// estimate that refuses them.
	serviceTimeHalfLife = time.Second
)

func (s *serviceTime) observe(now time.Time, d time.Duration) {
	v := d.Seconds()
	if s.samples == 0 {
		s.mean = v
	}
	s.samples++
	s.sampledAt = now
	diff := v - s.mean
	s.mean += serviceTimeWeight * diff
	if diff < 0 {
		diff = -diff
	}
	s.deviation += serviceTimeWeight * (diff - s.deviation)
}

// estimate returns the time that a call is expected to run; zero if unknown.
func (s *serviceTime) estimate(now time.Time) time.Duration {
	if s.samples == 0 {
		return 0
	}
	return s.aged(now, s.mean)
}

// spread returns the mean deviation from the estimate.
func (s *serviceTime) spread(now time.Time) time.Duration { return s.aged(now, s.deviation) }

// aged halves a value in seconds for each half-life since the last sample.
func (s *serviceTime) aged(now time.Time, v float64) time.Duration {
	d := time.Duration(v * float64(time.Second))
	for age := now.Sub(s.sampledAt); age >= serviceTimeHalfLife && d > time.Microsecond; age -= serviceTimeHalfLife {
		d /= 2
	}
	return d
}
