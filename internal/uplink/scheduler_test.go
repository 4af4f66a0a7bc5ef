package uplink

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runScheduler submits the chunks and advances the time until all are granted.
// It returns when each was granted.
func runScheduler(s *Scheduler, chunks []*chunk) map[*chunk]time.Duration {
	grantedAt := map[*chunk]time.Duration{}
	now := start
	for _, c := range chunks {
		if s.Submit(now, c) {
			grantedAt[c] = 0
		}
	}
	for {
		ready, wait := s.Next(now)
		for _, c := range ready {
			grantedAt[c] = now.Sub(start)
		}
		if wait == 0 {
			return grantedAt
		}
		now = now.Add(wait)
	}
}

// Guards against large responses that fill the queue of the link and delay
// every small response of the VM: on a VM with a 9 Mbit/s link, twelve
// downloads of 90 KB within a second delayed internal checks beyond their time
// limit. The queue delay must never exceed maxQueueDelay plus the time of one
// chunk.
func TestQueueDelayIsBounded(t *testing.T) {
	s := NewScheduler(1_000_000)
	now := start
	var waiting int
	for range 60 {
		if !s.Submit(now, &chunk{bytes: s.ChunkBytes(), due: start}) {
			waiting++
		}
	}
	limit := maxQueueDelay + s.duration(s.ChunkBytes())
	for waiting > 0 {
		ready, wait := s.Next(now)
		waiting -= len(ready)
		if delay := s.linkFreeAt.Sub(now); delay > limit {
			t.Fatalf("queue delay %s, want at most %s", delay, limit)
		}
		now = now.Add(wait)
	}
	if took, minimum := now.Sub(start), s.duration(58*s.ChunkBytes()); took < minimum {
		t.Errorf("60 chunks were granted in %s, want at least %s", took, minimum)
	}
}

// Guards against sharing the link equally, which makes all responses late.
func TestEarliestDueGoesFirst(t *testing.T) {
	s := NewScheduler(1_000_000)
	occupying := &chunk{bytes: 50_000, due: start}
	dueLater := &chunk{bytes: 50_000, due: start.Add(2 * time.Second)}
	dueEarlier := &chunk{bytes: 50_000, due: start.Add(time.Second)}
	grantedAt := runScheduler(s, []*chunk{occupying, dueLater, dueEarlier})
	if grantedAt[dueEarlier] >= grantedAt[dueLater] {
		t.Errorf("the chunk due after 1s was granted at %s, the one due after 2s at %s", grantedAt[dueEarlier], grantedAt[dueLater])
	}
}

// Guards against leaving responses that upstreams are still producing out of
// the backlog: the node would admit more than its link can carry.
func TestBacklogCountsExpectedBytes(t *testing.T) {
	s := NewScheduler(1_000_000)
	s.AddExpected(900_000)
	if got := s.Backlog(start); got != time.Second {
		t.Errorf("backlog %s, want 1s", got)
	}
	s.AddExpected(-900_000)
	if got := s.Backlog(start); got != 0 {
		t.Errorf("backlog %s after all bytes were removed, want 0", got)
	}
}

// Guards against granting chunks whose caller has disconnected.
func TestWithdrawnChunkIsNotGranted(t *testing.T) {
	s := NewScheduler(1_000_000)
	s.Charge(start, 100_000)
	c := &chunk{bytes: 100_000, due: start}
	if s.Submit(start, c) || !s.Withdraw(c) || s.Withdraw(c) {
		t.Error("the chunk was granted at once, could not be withdrawn, or was withdrawn twice")
	}
	if ready, wait := s.Next(start); len(ready) > 0 || wait != 0 {
		t.Errorf("got %d chunks and a wait of %s, want none", len(ready), wait)
	}
}

// Guards against delays on VMs whose settings contain no link rate.
func TestUnlimitedLinkNeverQueues(t *testing.T) {
	s := NewScheduler(0)
	for range 100 {
		if !s.Submit(start, &chunk{bytes: 1 << 20, due: start}) {
			t.Fatal("the chunk was queued")
		}
	}
}
