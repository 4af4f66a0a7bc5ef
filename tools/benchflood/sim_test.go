package main

import (
	"testing"
	"time"
)

// Guards against calls that are lost without an outcome, upstreams that run
// more calls than their slots, and runs that differ for the same seed.
func TestRunAccountsForAllCalls(t *testing.T) {
	for _, p := range policies {
		first := newSim(&deployments[0], &scenarios[0], p, 100*time.Millisecond, 1).run()
		if !first.accounted() {
			t.Errorf("%s: calls without outcome or slots exceeded", p)
		}
		again := newSim(&deployments[0], &scenarios[0], p, 100*time.Millisecond, 1).run()
		for i, r := range first.ranks {
			if o := again.ranks[i]; r.offered != o.offered || r.inTarget != o.inTarget || r.refused != o.refused {
				t.Errorf("%s rank %d: %+v, then %+v", p, i, r, o)
			}
		}
	}
}
