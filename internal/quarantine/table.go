package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table holds the suspect and quarantined fingerprints of a node. It is safe for
// concurrent use.
type Table struct {
	shards [shardCount]shard
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].entries = map[Fingerprint]entry{}
	}
	return t
}

// State returns the state of a fingerprint at now.
func (t *Table) State(now time.Time, f Fingerprint) State {
	state, _ := t.Lookup(now, f)
	return state
}

// Lookup returns the state of a fingerprint at now and how long the state lasts unless
// a report changes it; zero for StateClear.
func (t *Table) Lookup(now time.Time, f Fingerprint) (State, time.Duration) {
	return t.shard(f).lookup(now, f)
}

// RecordSuspect records one entry of a crash report and returns the resulting
// state of its fingerprint. A sole suspect that has succeeded here since it was last
// suspect is not quarantined: it does not crash every upstream.
func (t *Table) RecordSuspect(now time.Time, s Suspect) State {
	state, succeeded := t.shard(s.Fingerprint).record(now, s.Fingerprint, StateSuspect, EntryLifetime)
	if s.Sole && !succeeded {
		return t.Quarantine(now, Quarantined{Fingerprint: s.Fingerprint, Remaining: EntryLifetime})
	}
	return state
}

// MarkSuspect records a suspect and reports whether it had succeeded here since it was
// last suspect.
func (t *Table) MarkSuspect(now time.Time, f Fingerprint) (succeeded bool) {
	_, succeeded = t.shard(f).record(now, f, StateSuspect, EntryLifetime)
	return succeeded
}

// Quarantine records a quarantined fingerprint for the remaining time, at most
// EntryLifetime, and returns the resulting state.
func (t *Table) Quarantine(now time.Time, q Quarantined) State {
	state, _ := t.shard(q.Fingerprint).record(now, q.Fingerprint, StateQuarantined, min(q.Remaining, EntryLifetime))
	return state
}

// Quarantined returns the quarantined fingerprints.
func (t *Table) Quarantined(now time.Time) []Quarantined {
	var list []Quarantined
	for i := range t.shards {
		list = t.shards[i].quarantined(now, list)
	}
	return list
}

// RecordSuccess clears a suspect that ran without a crash. It returns false and
// does nothing if f is not a suspect.
func (t *Table) RecordSuccess(now time.Time, f Fingerprint) bool { return t.shard(f).clear(now, f) }

func (t *Table) shard(f Fingerprint) *shard {
	return &t.shards[xxhash.Sum64(f[:])%shardCount]
}
