package routing

import "math/rand/v2"

// pool samples two candidates of one kind in one scope at random.
type pool struct {
	count int
	pair  [2]assessment
}

// add keeps a uniform sample of two of all candidates seen so far.
func (p *pool) add(a assessment, rng *rand.Rand) {
	p.count++
	if p.count <= 2 {
		p.pair[p.count-1] = a
		return
	}
	if i := rng.IntN(p.count); i < 2 {
		p.pair[i] = a
	}
}

// choose prefers the lower expected latency of the two. The preference is
// random in proportion to the square of the expectations: always taking the
// better one makes all senders move together and never corrects an old
// observation of the other. A cold upstream that wins is kept only with the
// probability of its ramp.
func (p *pool) choose(rng *rand.Rand) assessment {
	if p.count == 1 {
		return p.pair[0]
	}
	first, second := p.pair[0], p.pair[1]
	a, b := first.expected*first.expected, second.expected*second.expected
	if rng.Float64()*(a+b) < a {
		first, second = second, first
	}
	if first.ramp < second.ramp && rng.Float64() > first.ramp {
		return second
	}
	return first
}
