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
func (t *Table) State(now time.Time, f Fingerprint) State { return t.shard(f).state(now, f) }

// RecordSuspect records one entry of a crash report and returns the resulting
// state of its fingerprint.
func (t *Table) RecordSuspect(now time.Time, s Suspect) State {
	if s.Sole {
		return t.shard(s.Fingerprint).record(now, s.Fingerprint, StateQuarantined)
	}
	return t.shard(s.Fingerprint).record(now, s.Fingerprint, StateSuspect)
}

// RecordSuccess clears a suspect that ran without a crash. It returns false and
// does nothing if f is not a suspect.
func (t *Table) RecordSuccess(f Fingerprint) bool { return t.shard(f).clear(f) }

func (t *Table) shard(f Fingerprint) *shard {
	return &t.shards[xxhash.Sum64(f[:])%shardCount]
}
