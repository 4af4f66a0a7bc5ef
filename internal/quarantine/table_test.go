package quarantine

import (
	"testing"
	"time"
)

// TestSecondCrashQuarantinesOnlyTheSoleSuspect guards against quarantining
// requests that only ran at the same time as one that crashes upstreams.
func TestSecondCrashQuarantinesOnlyTheSoleSuspect(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	crashing, healthy, other := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	table, first, second := NewTable(), NewInFlightRequests(), NewInFlightRequests()
	p := first.Begin(crashing, false)
	h := first.Begin(healthy, false)
	crash, isFirst := first.RecordBrokenConnection(p)
	if again, repeated := first.RecordBrokenConnection(h); !isFirst || repeated || again != crash {
		t.Fatal("two broken connections of one crash were recorded as two crashes")
	}
	for _, s := range crash.Suspects {
		if got := table.RecordSuspect(now, s); got != StateSuspect {
			t.Errorf("state after the first crash: %v, want suspect", got)
		}
	}
	p = second.Begin(crashing, true)
	second.Begin(other, false)
	crash, _ = second.RecordBrokenConnection(p)
	for _, s := range crash.Suspects {
		table.RecordSuspect(now, s)
	}
	for f, want := range map[Fingerprint]State{crashing: StateQuarantined, healthy: StateSuspect, other: StateSuspect} {
		if got := table.State(now, f); got != want {
			t.Errorf("fingerprint %v is %v, want %v", f[0], got, want)
		}
	}
	if !table.RecordSuccess(now, healthy) || table.RecordSuccess(now, crashing) || table.State(now, healthy) != StateClear {
		t.Error("a success did not clear a suspect, or cleared a quarantined fingerprint")
	}
	if got := table.State(now.Add(EntryLifetime), crashing); got != StateClear {
		t.Errorf("state after the quarantine has expired: %v, want clear", got)
	}
}

// TestTableIsBounded guards against memory that grows with the number of
// crashes, and against evicting a quarantined fingerprint before a suspect.
func TestTableIsBounded(t *testing.T) {
	now, table := time.UnixMilli(1_700_000_000_000), NewTable()
	quarantined := Fingerprint{0xff}
	table.RecordSuspect(now, Suspect{Fingerprint: quarantined, Sole: true})
	for i := range (shardCount + 1) * maxEntriesPerShard {
		table.RecordSuspect(now, Suspect{Fingerprint: Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}})
	}
	entries := 0
	for i := range table.shards {
		entries += len(table.shards[i].entries)
	}
	if entries > shardCount*maxEntriesPerShard || table.State(now, quarantined) != StateQuarantined {
		t.Errorf("%d entries, want at most %d; the quarantined fingerprint is %v", entries, shardCount*maxEntriesPerShard, table.State(now, quarantined))
	}
}
