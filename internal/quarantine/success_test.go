package quarantine

import (
	"errors"
	"testing"
	"time"
)

// TestSoleSuspectThatSucceededElsewhereIsNotQuarantined guards against quarantining a
// request that other upstreams run, because one faulty upstream crashes with it twice.
func TestSoleSuspectThatSucceededElsewhereIsNotQuarantined(t *testing.T) {
	now, f := time.UnixMilli(1_700_000_000_000), Fingerprint{1}
	table := NewTable()
	table.RecordSuspect(now, Suspect{Fingerprint: f})
	if !table.RecordSuccess(now, f) {
		t.Fatal("a suspect that succeeded was not cleared")
	}
	if got := table.RecordSuspect(now, Suspect{Fingerprint: f, Sole: true}); got != StateSuspect {
		t.Errorf("state after a sole crash elsewhere: %v, want suspect", got)
	}
	// Without a further success the next sole crash counts.
	if got := table.RecordSuspect(now, Suspect{Fingerprint: f, Sole: true}); got != StateQuarantined {
		t.Errorf("state after two sole crashes without a success between: %v, want quarantined", got)
	}
}

// TestSharedQuarantineKeepsItsEnd guards against nodes that extend a quarantine forever
// by telling each other of it.
func TestSharedQuarantineKeepsItsEnd(t *testing.T) {
	now, f := time.UnixMilli(1_700_000_000_000), Fingerprint{1}
	first, second := NewTable(), NewTable()
	first.RecordSuspect(now, Suspect{Fingerprint: f, Sole: true})
	for range 3 {
		now = now.Add(EntryLifetime / 4)
		for _, q := range first.Quarantined(now) {
			second.Quarantine(now, q)
		}
		for _, q := range second.Quarantined(now) {
			first.Quarantine(now, q)
		}
	}
	if first.State(now, f) != StateQuarantined || second.State(now, f) != StateQuarantined {
		t.Error("a shared quarantine ended early")
	}
	now = now.Add(EntryLifetime / 4)
	if first.State(now, f) != StateClear || second.State(now, f) != StateClear {
		t.Error("a shared quarantine outlasts its lifetime")
	}
}

// TestOneSuspectRunsAtATime guards against crashes that cannot be attributed because two
// suspects run on one upstream, and against a slot that is lost with an admission.
func TestOneSuspectRunsAtATime(t *testing.T) {
	g, now := NewGuard(), time.Now()
	first, second := Fingerprint{1}, Fingerprint{2}
	before, err := g.Admit(t.Context(), first)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []Fingerprint{first, second} {
		g.Table.MarkSuspect(now, f)
	}
	other, err := g.Admit(t.Context(), second)
	if err != nil || !other.Suspect {
		t.Fatalf("the first suspect: %v, want it admitted as a suspect", err)
	}
	var running *SuspectRunningError
	if err := before.Begin(); !errors.As(err, &running) {
		t.Errorf("a request that became suspect while another suspect runs: %v, want *SuspectRunningError", err)
	}
	other.Release()
	if err := before.Begin(); err != nil || !before.Suspect {
		t.Errorf("after the other suspect: %v, want it to run as a suspect", err)
	}
	before.Release()
}
