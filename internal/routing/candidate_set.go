package routing

import "math/rand/v2"

// candidateSet groups the candidates of one call by scope and state.
type candidateSet struct {
	serving, busy, probes, unavailable [len(scopes)]candidateSample
	skipped                            SkipCounts
	// triedInRegion counts the upstreams in the sender's region that could take
	// calls but that this call has already tried. They make the region count as
	// busy instead of down.
	triedInRegion int
	total         int
}

// addForbidden counts an upstream in a region that the call may not use.
func (c *candidateSet) addForbidden() {
	c.total++
	c.skipped.RegionForbidden++
}

func (c *candidateSet) add(scope int, a assessment, rng *rand.Rand) {
	c.total++
	c.skipped.add(a.state)
	switch a.state {
	case stateServing:
		c.serving[scope].add(a, rng)
	case stateBusy:
		c.busy[scope].add(a, rng)
	case stateProbe:
		c.probes[scope].add(a, rng)
	case stateExcluded:
		if a.triedInService && scope < 2 {
			c.triedInRegion++
		}
	case stateFailed, stateUnresponsive, stateSuspect:
		c.unavailable[scope].add(a, rng)
	}
}
