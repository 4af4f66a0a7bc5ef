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

// Guards against accepting calls of a rank that gets no slot, once the estimate of
// their service time has decayed: all of them then seemed to end in time, filled the
// queue and waited until their deadline. First seen on plmfs-depot (scale-2), with 108
// calls waiting for 2.5 s each.
func TestGateRefusesCallsOfAStarvedRank(t *testing.T) {
	slow := &config.Rank{Name: "slow", Order: 3, TargetMs: 1000}
	h := newGateHarness(Limits{Slots: 2, Connections: 100, Ranks: []*config.Rank{urgent, slow}})
	h.warm(slow, 100*time.Millisecond)
	h.warm(urgent, 100*time.Millisecond)
	var accepted int
	for n := range 200 {
		for len(h.running) < 2 || h.gate.entryFor(urgent).queueEmpty() {
			if _, err := h.submit(urgent, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		// Ten seconds of urgent calls only, then calls of the other rank.
		if n > 150 {
			if _, err := h.submit(slow, 2*time.Second); err == nil {
				accepted++
			}
		}
		h.now = h.now.Add(50 * time.Millisecond)
		h.finish()
	}
	if accepted > 2 {
		t.Errorf("%d calls of a rank without a slot were accepted, want at most 2", accepted)
	}
}

// Guards against a high estimate of the service time that outlasts a slow period of
// the upstream: the rank's calls would be refused for good.
func TestServiceTimeFollowsOtherRanksAfterASlowPeriod(t *testing.T) {
	h := newGateHarness(Limits{Slots: 2, Connections: 100, Ranks: ranks})
	h.warm(normal, 2*time.Second)
	for range 2 {
		h.warm(urgent, 50*time.Millisecond)
	}
	if got := h.gate.ServiceTime(h.now, normal); got > 100*time.Millisecond {
		t.Errorf("estimate %s after 6 s of other ranks' calls of 50 ms, want at most 100 ms", got)
	}
	if got := h.gate.ServiceTime(h.now.Add(20*time.Second), normal); got > time.Millisecond {
		t.Errorf("estimate %s after 20 s without any call, want none", got)
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
