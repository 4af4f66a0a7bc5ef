package admission

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// Guards against accepting less urgent calls that later urgent ones overtake
// until their deadline. When a service had permanently lost a third of its
// upstreams, 700 calls ended with a timeout instead of an early refusal (test
// run fresh-4c40). Here a steady load of urgent calls uses all slots.
func TestGateRefusesCallsThatUrgentOnesWouldOvertake(t *testing.T) {
	slow := &config.Rank{Name: "slow", Order: 3, TargetMs: 1000}
	h := newGateHarness(Limits{Slots: 2, Connections: 100, Ranks: []*config.Rank{urgent, slow}})
	h.warm(urgent, 100*time.Millisecond)
	h.warm(slow, 100*time.Millisecond)
	for n := range 60 {
		rank := urgent
		if n == 50 {
			rank = slow
		}
		if _, err := h.submit(rank, time.Second); err != nil {
			t.Fatal(err)
		}
		h.now = h.now.Add(50 * time.Millisecond)
		if len(h.running) == 2 {
			h.finish()
		}
	}
	for len(h.running) < 2 {
		if _, err := h.submit(urgent, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	var late *LateError
	if _, err := h.submit(slow, 600*time.Millisecond); !errors.As(err, &late) {
		t.Errorf("got %v, want a *LateError", err)
	}
	if _, err := h.submit(urgent, time.Second); err != nil {
		t.Errorf("an urgent call was refused: %v", err)
	}
}

// Guards against a call that waits until its deadline: it has to be refused as
// soon as the time left is shorter than its expected service time.
func TestLimiterRefusesWhenServiceTimeNoLongerFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiterWithClock(Limits{Slots: 1, Ranks: []*config.Rank{urgent}}, time.Now)
		now := time.Now()
		warm := &Ticket{Rank: urgent}
		if granted, err := l.gate.Submit(now, warm); !granted || err != nil {
			t.Fatal(granted, err)
		}
		l.gate.Release(now.Add(100*time.Millisecond), warm)
		running := &Ticket{Rank: urgent}
		if granted, err := l.gate.Submit(time.Now(), running); !granted || err != nil {
			t.Fatal(granted, err)
		}
		began := time.Now()
		_, err := l.Acquire(t.Context(), &call.Call{Rank: urgent, Deadline: began.Add(300 * time.Millisecond)})
		var late *LateError
		if took := time.Since(began); !errors.As(err, &late) || took > 260*time.Millisecond {
			t.Errorf("returned after %s with %v, want a *LateError within 260 ms", took, err)
		}
	})
}
