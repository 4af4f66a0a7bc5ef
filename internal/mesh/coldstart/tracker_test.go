package coldstart

import (
	"testing"
	"time"
)

// Guards against more calls than a cold upstream takes because the node does not know
// that it is cold: after the node's own start, after an outage of the upstream, and when
// the entry or a health response says so.
func TestTracker(t *testing.T) {
	const coldStart = 3 * time.Second
	start := time.Unix(1_700_000_000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	tracker := NewTracker(start)
	check := func(when string, now, listedUntil time.Time, want bool) {
		t.Helper()
		if got := tracker.Cold(now, listedUntil, coldStart); got != want {
			t.Errorf("%s: cold is %t, want %t", when, got, want)
		}
	}
	check("the node has just started", after(time.Second), time.Time{}, true)
	check("the node started long ago", after(coldStart), time.Time{}, false)
	tracker.ObserveHealth(after(time.Second), 0)
	check("a health response says warm", after(time.Second), time.Time{}, false)
	check("the entry says cold", after(time.Second), after(2*time.Second), true)
	tracker.ObserveLost(after(5 * time.Second))
	check("the upstream was lost", after(6*time.Second), time.Time{}, true)
	tracker.ObserveHealth(after(6*time.Second), 500*time.Millisecond)
	check("a health response says cold", after(6400*time.Millisecond), time.Time{}, true)
	check("that time has passed", after(6600*time.Millisecond), time.Time{}, false)
}
