package quarantine

import (
	"testing"
	"time"
)

// TestSecondCrashQuarantinesOnlyTheSoleSuspect guards against banning requests
// that ran beside the one that crashed the upstream.
func TestSecondCrashQuarantinesOnlyTheSoleSuspect(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	poison, healthy, other := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	table, first, second := NewTable(), NewInFlightRequests(), NewInFlightRequests()
	p := first.Begin(poison, false)
	h := first.Begin(healthy, false)
	crash, leads := first.ConnectionBroke(p)
	if again, repeated := first.ConnectionBroke(h); !leads || repeated || again != crash {
		t.Fatal("one crash was taken for two")
	}
	for _, s := range crash.Suspects {
		if got := table.RecordSuspect(now, s); got != StateSuspect {
			t.Errorf("first crash: %v", got)
		}
	}
	p = second.Begin(poison, true)
	second.Begin(other, false)
	crash, _ = second.ConnectionBroke(p)
	for _, s := range crash.Suspects {
		table.RecordSuspect(now, s)
	}
	for f, want := range map[Fingerprint]State{poison: StateQuarantined, healthy: StateSuspect, other: StateSuspect} {
		if got := table.State(now, f); got != want {
			t.Errorf("%v: %v, want %v", f[0], got, want)
		}
	}
	if !table.RecordSuccess(healthy) || table.RecordSuccess(poison) || table.State(now, healthy) != StateClear {
		t.Error("a success must clear suspects and nothing else")
	}
	if got := table.State(now.Add(Duration), poison); got != StateClear {
		t.Errorf("after the quarantine: %v", got)
	}
}

// TestTableIsBounded guards against memory that grows with the number of
// crashes, and against dropping a quarantine to keep a suspect.
func TestTableIsBounded(t *testing.T) {
	now, table := time.UnixMilli(1_700_000_000_000), NewTable()
	banned := Fingerprint{0xff}
	table.RecordSuspect(now, Suspect{Fingerprint: banned, Sole: true})
	for i := range (shardCount + 1) * maxPerShard {
		table.RecordSuspect(now, Suspect{Fingerprint: Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}})
	}
	held := 0
	for i := range table.shards {
		held += len(table.shards[i].records)
	}
	if held > shardCount*maxPerShard || table.State(now, banned) != StateQuarantined {
		t.Errorf("%d records; %v", held, table.State(now, banned))
	}
}
