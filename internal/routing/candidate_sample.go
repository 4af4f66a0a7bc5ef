package routing

import "math/rand/v2"

// candidateSample holds two random candidates of one scope and state, for a
// power-of-two-choices selection.
type candidateSample struct {
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

// choose returns one of the two at random and prefers the one with the lower
// expected latency, with odds by the square of the latencies. If it always took
// the lower one, all nodes would move to the same upstream, and an outdated
// observation of the other would never be corrected. A cold upstream that was
// chosen is kept only with the probability of its ramp.
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
