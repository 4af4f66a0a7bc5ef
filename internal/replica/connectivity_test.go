package replica

import (
	"testing"
	"time"
)

// Guards against taking the start of a node for an outage of the platform: entries that
// were removed in the seconds after it kept their calls for the grace period of an
// outage, beyond the drain bound.
func TestStartBesideSoundPlatformIsNoOutage(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		firstRead time.Duration
		unstable  bool
	}{{30 * time.Millisecond, false}, {3 * time.Second, true}} {
		conn := newConnectivity(start)
		if !conn.unstable(start) {
			t.Error("a node without a read counts as stable")
		}
		at := start.Add(c.firstRead)
		conn.confirm(at, at)
		if got := conn.unstable(at.Add(time.Millisecond)); got != c.unstable {
			t.Errorf("first read after %s: unstable is %t, want %t", c.firstRead, got, c.unstable)
		}
		later := at.Add(time.Minute)
		conn.lose(later)
		conn.confirm(later.Add(10*time.Millisecond), later.Add(10*time.Millisecond))
		if !conn.unstable(later.Add(20 * time.Millisecond)) {
			t.Error("a node that has just reconnected counts as stable")
		}
	}
}
