package stopping

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a plan whose steps are out of order or that ends after the grace
// period, at which the node is killed.
func TestPlanStaysWithinTheGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "grace"))
		now := time.Unix(1_800_000_000, 0)
		p := NewPlan(now, grace)
		steps := []time.Time{now, p.CallersLeft, p.Drain, p.Cancel, p.Close, now.Add(grace - FlushTime)}
		for i := range len(steps) - 1 {
			if steps[i].After(steps[i+1]) {
				t.Fatalf("grace period %s: step %d at %s is after the next at %s", grace, i, steps[i].Sub(now), steps[i+1].Sub(now))
			}
		}
	})
}

// Guards against taking a call from a caller, once callers can use other nodes,
// that the node would have to cancel, and a non-idempotent one from another node at
// any time of the stop.
func TestTakenCallsEndBeforeTheyAreCanceled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(30*time.Second)).Draw(t, "grace"))
		began := time.Unix(1_800_000_000, 0)
		p := NewPlan(began, grace)
		now := began.Add(time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "arrival")))
		deadline := now.Add(time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "time left")))
		if late := deadline.After(p.Cancel); late {
			if !now.Before(p.CallersLeft) && p.TakesFromCaller(now, deadline) {
				t.Fatal("takes a call from a caller that it would cancel")
			}
			if p.TakesFromNode(deadline, false) {
				t.Fatal("takes a non-idempotent call from a node that it would cancel")
			}
			return
		}
		if !p.TakesFromCaller(now, deadline) || !p.TakesFromNode(deadline, false) {
			t.Fatal("refuses a call that ends in time")
		}
	})
}

// Guards against refusing the calls of callers that still have to notice that the
// node is unready.
func TestCallersMayNoticeTheStop(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	for _, grace := range []time.Duration{6 * time.Second, 10 * time.Second} {
		p := NewPlan(began, grace)
		now := began.Add(2100 * time.Millisecond)
		if !p.TakesFromCaller(now, now.Add(time.Minute)) {
			t.Errorf("grace period %s: refuses a call 2.1 s after the begin of the stop", grace)
		}
	}
}
