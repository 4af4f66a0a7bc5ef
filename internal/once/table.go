package once

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table holds the keys that one process owns. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{}
	for i := range t.shards {
		t.shards[i] = newShard(max(cfg.MaxKeys/shardCount, 1), cfg.MaxTotalResponseBytes/shardCount)
	}
	return t
}

// Begin decides how to handle a call whose key names this process. After
// ActionRun the caller must call Finish exactly once, also if the call fails.
func (t *Table) Begin(now time.Time, k Key, f Fingerprint) Decision {
	return t.shard(k).begin(now, k, f)
}

// Finish records the result of an execution that Begin returned with ActionRun,
// and passes it to the calls that joined.
func (t *Table) Finish(now time.Time, e *Execution, r Result) {
	t.shard(e.key).finish(now, e, r)
}

// Len returns the number of keys held.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].len()
	}
	return n
}

func (t *Table) shard(k Key) *shard {
	return &t.shards[xxhash.Sum64(k.Nonce[:])%shardCount]
}
