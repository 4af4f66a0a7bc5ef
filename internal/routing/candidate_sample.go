package routing

import "math/rand/v2"

// candidateSample holds up to two random candidates of one scope and group of
// states, for a power-of-two-choices selection.
type candidateSample struct {
	// count is the number of candidates added, including those not sampled.
	count   int
	sampled [2]assessment
}

// add keeps a uniform random sample of two of all added candidates (reservoir
// sampling).
func (s *candidateSample) add(a assessment, rng *rand.Rand) {
	s.count++
	if s.count <= 2 {
		s.sampled[s.count-1] = a
		return
	}
	if i := rng.IntN(s.count); i < 2 {
		s.sampled[i] = a
	}
}

// choose returns one of the two at random, with odds inversely proportional to
// the square of the expected latency. If it always took the lower latency, all
// nodes would move to the same upstream, and an outdated observation of the other
// would never be corrected. If the chosen one has the lower ramp, it is kept only
// with the probability of its ramp.
func (s *candidateSample) choose(rng *rand.Rand) assessment {
	if s.count == 1 {
		return s.sampled[0]
	}
	first, second := s.sampled[0], s.sampled[1]
	a, b := first.expectedLatency*first.expectedLatency, second.expectedLatency*second.expectedLatency
	if rng.Float64()*(a+b) < a {
		first, second = second, first
	}
	if first.ramp < second.ramp && rng.Float64() > first.ramp {
		return second
	}
	return first
}
