package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table holds the suspect and quarantined fingerprints that a node knows. It is
// safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].records = map[Fingerprint]record{}
	}
	return t
}

// State returns what is known about a fingerprint.
func (t *Table) State(now time.Time, f Fingerprint) State { return t.shard(f).state(now, f) }

// RecordSuspect records one entry of a crash report and returns the state it led to.
func (t *Table) RecordSuspect(now time.Time, s Suspect) State {
	if s.Sole {
		return t.shard(s.Fingerprint).report(now, s.Fingerprint, StateQuarantined)
	}
	return t.shard(s.Fingerprint).report(now, s.Fingerprint, StateSuspect)
}

// RecordSuccess clears a suspect that ran well and reports whether it was one.
func (t *Table) RecordSuccess(f Fingerprint) bool { return t.shard(f).clear(f) }

func (t *Table) shard(f Fingerprint) *shard {
	return &t.shards[xxhash.Sum64(f[:])%shardCount]
}
