package member

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards of a Table. Peers compare tables shard by
// shard, so the number is part of the protocol between nodes.
const ShardCount = 64

// DeadRetention is how long a dead member is remembered, so that late messages
// cannot bring it back.
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

// ShardOf returns the index of the shard that holds a VM.
func ShardOf(vm string) int { return int(xxhash.Sum64String(vm) % ShardCount) }

// Apply stores a record if it supersedes the one held and reports whether it
// did. Dead records past their retention are ignored.
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

// unordered returns all records in no particular order.
func (t *Table) unordered() []Member {
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

// Expire drops dead members past their retention.
func (t *Table) Expire(now time.Time) {
	before := now.Add(-DeadRetention).UnixMilli()
	for i := range t.shards {
		if t.shards[i].expire(before) {
			t.generation.Add(1)
		}
	}
}

// View returns an immutable view of the table that is at most minViewAge, or
// viewAgePerMember for each member, behind it.
func (t *Table) View(now time.Time) *View { return t.views.get(now, t) }
