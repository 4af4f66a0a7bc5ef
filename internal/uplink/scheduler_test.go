package uplink

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run plays a schedule until all pieces are granted and returns when each was.
func run(s *Scheduler, pieces []*piece) map[*piece]time.Duration {
	out := map[*piece]time.Duration{}
	now := start
	for _, p := range pieces {
		if s.Submit(now, p) {
			out[p] = 0
		}
	}
	for {
		ready, wait := s.Next(now)
		for _, p := range ready {
			out[p] = now.Sub(start)
		}
		if wait == 0 {
			return out
		}
		now = now.Add(wait)
	}
}

// Guards against large answers that fill the link's queue, behind which every
// small answer of the VM then waits: the link of a VM with 9 Mbit/s that got
// twelve downloads of 90 KB within a second delayed internal checks past their
// time limit. At no time more than maxAhead plus one piece may be under way.
func TestLittleIsHandedOutAheadOfTheLink(t *testing.T) {
	s := NewScheduler(1_000_000)
	now := start
	var waiting int
	for range 60 {
		if !s.Submit(now, &piece{bytes: s.PieceBytes(), due: start}) {
			waiting++
		}
	}
	limit := maxAhead + s.duration(s.PieceBytes())
	for waiting > 0 {
		ready, wait := s.Next(now)
		waiting -= len(ready)
		if ahead := s.free.Sub(now); ahead > limit {
			t.Fatalf("%s ahead of the link, at most %s allowed", ahead, limit)
		}
		now = now.Add(wait)
	}
	if took, least := now.Sub(start), s.duration(58*s.PieceBytes()); took < least {
		t.Errorf("60 pieces in %s, the link needs %s", took, least)
	}
}

// Guards against answers that are all late because they share the link equally.
func TestEarliestDueGoesFirst(t *testing.T) {
	s := NewScheduler(1_000_000)
	first := &piece{bytes: 50_000, due: start}
	late := &piece{bytes: 50_000, due: start.Add(2 * time.Second)}
	early := &piece{bytes: 50_000, due: start.Add(time.Second)}
	at := run(s, []*piece{first, late, early})
	if at[early] >= at[late] {
		t.Errorf("early at %s, late at %s", at[early], at[late])
	}
}

// Guards against a backlog that forgets answers which upstreams still prepare:
// the node would admit more than its link can carry.
func TestBacklogCountsExpectedAnswers(t *testing.T) {
	s := NewScheduler(1_000_000)
	s.Expect(900_000)
	if got := s.Backlog(start); got != time.Second {
		t.Errorf("backlog %s", got)
	}
	s.Expect(-900_000)
	if got := s.Backlog(start); got != 0 {
		t.Errorf("backlog %s after all were sent", got)
	}
}

// Guards against pieces of callers that left and still take their turn.
func TestWithdrawnPieceGetsNoTurn(t *testing.T) {
	s := NewScheduler(1_000_000)
	s.Charge(start, 100_000)
	p := &piece{bytes: 100_000, due: start}
	if s.Submit(start, p) || !s.Withdraw(p) || s.Withdraw(p) {
		t.Error("the piece does not wait, or can be withdrawn twice")
	}
	if ready, wait := s.Next(start); len(ready) > 0 || wait != 0 {
		t.Errorf("%d pieces, wait %s", len(ready), wait)
	}
}

// Guards against delays on VMs whose settings name no rate.
func TestNoRateMeansNoTurns(t *testing.T) {
	s := NewScheduler(0)
	for range 100 {
		if !s.Submit(start, &piece{bytes: 1 << 20, due: start}) {
			t.Fatal("a piece waits")
		}
	}
}
