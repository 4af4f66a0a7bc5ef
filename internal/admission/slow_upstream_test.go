package admission

import (
	"errors"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// Guards against an estimate that ignores running calls: calls were accepted
// behind running ones that took much longer than usual, until the first of
// these ended.
func TestGateDetectsSlowUpstream(t *testing.T) {
	rank := &config.Rank{Name: "lookup", TargetMs: 500}
	h := newGateHarness(Limits{Slots: 4, Ranks: []*config.Rank{rank}})
	h.warm(rank, 50*time.Millisecond)
	for range 4 {
		if _, err := h.submit(rank, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	h.now = h.now.Add(450 * time.Millisecond)
	var late *LateError
	ticket := &Ticket{Rank: rank, Deadline: h.now.Add(time.Second), SoftDeadline: h.now.Add(500 * time.Millisecond)}
	if _, err := h.gate.Submit(h.now, ticket); !errors.As(err, &late) {
		t.Errorf("got %v, want a *LateError behind calls that have run for 450 ms", err)
	}
}
