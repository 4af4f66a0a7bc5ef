package admission

import (
	"errors"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// Guards against accepting calls behind running ones that take much longer than
// usual, until the first of these ends.
func TestGateNoticesThatTheUpstreamTurnedSlow(t *testing.T) {
	rank := &config.Rank{Name: "lookup", TargetMs: 500}
	b := newBench(Limits{Slots: 4, Ranks: []*config.Rank{rank}})
	b.warm(rank, 50*time.Millisecond)
	for range 4 {
		if _, err := b.submit(rank, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	b.now = b.now.Add(450 * time.Millisecond)
	var late *LateError
	ticket := &Ticket{Rank: rank, Deadline: b.now.Add(time.Second), SoftDeadline: b.now.Add(500 * time.Millisecond)}
	if _, err := b.gate.Submit(b.now, ticket); !errors.As(err, &late) {
		t.Errorf("accepted behind calls that run for 450 ms: %v", err)
	}
}
