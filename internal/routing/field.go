package routing

import "math/rand/v2"

// field is the candidates of one call, grouped by scope and state.
type field struct {
	serving, busy, probes, out [len(scopes)]pool
	left                       LeftOut
	// triedNear counts upstreams in service in the region that the call
	// has tried: they make the region busy, not down.
	triedNear int
	known     int
}

func (f *field) add(scope int, a assessment, rng *rand.Rand) {
	f.known++
	f.left.add(a.state)
	switch a.state {
	case stateServing:
		f.serving[scope].add(a, rng)
	case stateBusy:
		f.busy[scope].add(a, rng)
	case stateProbe:
		f.probes[scope].add(a, rng)
	case stateExcluded:
		if a.tried && scope < 2 {
			f.triedNear++
		}
	case stateFailed, stateSilent, stateSuspect:
		f.out[scope].add(a, rng)
	}
}
