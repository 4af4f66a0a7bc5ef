package admission

import "time"

// serviceTime is a moving estimate of how long calls of a rank run.
type serviceTime struct {
	// mean and deviation are in seconds.
	mean, deviation float64
	sampledAt       time.Time
	samples         int
}

const (
	// serviceTimeWeight is the weight of a new sample. It averages over about
	// 16 calls, so the mean follows a cold start within a fraction of a second.
	serviceTimeWeight = 1.0 / 16
	// serviceTimeHalfLife is the time in which the estimate halves while no
	// call ends.
	// Without this decay, a high estimate after a slow period could refuse all
	// calls and so never be corrected by a new sample.
	serviceTimeHalfLife = time.Second
)

// observe adds a sample.
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

// estimate returns how long a call is expected to run, or zero without samples.
func (s *serviceTime) estimate(now time.Time) time.Duration {
	if s.samples == 0 {
		return 0
	}
	return s.decayed(now, s.mean)
}

// estimateBeside is estimate for a rank beside the estimate of all ranks together.
// While no call of the rank ends, it approaches that one if it is lower: other calls
// show that the upstream is not as slow any more. It does not approach zero, at which
// every call would seem to end in time.
func (s *serviceTime) estimateBeside(now time.Time, all time.Duration) time.Duration {
	own := s.estimate(now)
	last := time.Duration(s.mean * float64(time.Second))
	if last <= 0 {
		return own
	}
	forgotten := 1 - float64(own)/float64(last)
	return own + time.Duration(forgotten*float64(min(all, last)))
}

// meanDeviation returns the mean absolute deviation of the samples from the mean.
func (s *serviceTime) meanDeviation(now time.Time) time.Duration { return s.decayed(now, s.deviation) }

// decayed halves v, in seconds, for each half-life since the last sample.
func (s *serviceTime) decayed(now time.Time, v float64) time.Duration {
	d := time.Duration(v * float64(time.Second))
	for age := now.Sub(s.sampledAt); age >= serviceTimeHalfLife && d > time.Microsecond; age -= serviceTimeHalfLife {
		d /= 2
	}
	return d
}
