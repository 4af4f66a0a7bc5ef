package member

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards of a Table. Peers compare tables shard by
// shard, so the number is part of the protocol between nodes.
const ShardCount = 64

// DeadRetention is how long the record of a dead member is kept, so that late
// messages cannot revive it.
const DeadRetention = 10 * time.Minute

// Table holds the members that a node knows, in shards by VM id. It is safe for
// concurrent use.
type Table struct {
	shards     [ShardCount]tableShard
	generation atomic.Uint64
	views      viewCache
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].byVM = map[string]Member{}
	}
	return t
}

// ShardOf returns the index of the shard for a VM id.
func ShardOf(vm string) int { return int(xxhash.Sum64String(vm) % ShardCount) }

// Apply stores a record if it supersedes the one held and reports whether it
// did. A dead record past its retention is ignored if the VM is unknown.
func (t *Table) Apply(now time.Time, m Member) bool {
	if m.Status == Dead && m.ChangedAt < now.Add(-DeadRetention).UnixMilli() {
		if _, known := t.Get(m.VM); !known {
			return false
		}
	}
	if !t.shards[ShardOf(m.VM)].apply(m) {
		return false
	}
	t.generation.Add(1)
	return true
}

// Get returns the record of a VM.
func (t *Table) Get(vm string) (Member, bool) { return t.shards[ShardOf(vm)].get(vm) }

// Shard returns the records of one shard in the order of their VM ids.
func (t *Table) Shard(i int) []Member { return t.shards[i].appendSorted(nil) }

// All returns all records. The order depends only on the VM ids.
func (t *Table) All() []Member {
	out := make([]Member, 0, t.len())
	for i := range t.shards {
		out = t.shards[i].appendSorted(out)
	}
	return out
}

// len returns the number of records; it may be outdated on return.
func (t *Table) len() int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].len()
	}
	return n
}

// allUnordered returns all records in no particular order.
func (t *Table) allUnordered() []Member {
	out := make([]Member, 0, t.len())
	for i := range t.shards {
		out = t.shards[i].appendUnordered(out)
	}
	return out
}

// Digests returns one digest per shard; equal digests mean equal shards.
func (t *Table) Digests() [ShardCount]uint64 {
	var out [ShardCount]uint64
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		out[i] = s.digest
		s.mu.RUnlock()
	}
	return out
}

// Expire removes the records of dead members past their retention.
func (t *Table) Expire(now time.Time) {
	cutoff := now.Add(-DeadRetention).UnixMilli()
	for i := range t.shards {
		if t.shards[i].expire(cutoff) {
			t.generation.Add(1)
		}
	}
}

// View returns an immutable view of the table. It may lag behind the table by a
// short time that grows with the number of members.
func (t *Table) View(now time.Time) *View { return t.views.get(now, t) }
