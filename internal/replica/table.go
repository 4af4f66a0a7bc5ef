package replica

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of shards of a table, which holds about one item for
// each upstream.
const tableShards = 32

// Table is the node's copy of the published items. It is safe for concurrent
// use.
type Table struct {
	shards [tableShards]shard
	// revision is the revision up to which the table is complete. It is written
	// under mu and read without: every forwarded call reads it and must not wait
	// for mu, which is held while a large version is applied.
	revision atomic.Uint64
	// mu guards changed and serialises Merge and Replace, so that onChange is
	// called with the changes of a key in the order of their revisions.
	mu sync.Mutex
	// changed is closed and replaced when revision advances.
	changed chan struct{}
	// onChange is called with each applied change, one at a time.
	onChange func(Item)
}

// NewTable returns an empty table that reports each applied change to
// onChange. onChange is called while the table is locked and must not call it.
func NewTable(onChange func(Item)) *Table {
	t := &Table{onChange: onChange, changed: make(chan struct{})}
	for i := range t.shards {
		t.shards[i].items = map[string]Item{}
	}
	return t
}

func (t *Table) shard(key string) *shard { return &t.shards[xxhash.Sum64String(key)%tableShards] }

// Revision returns the revision up to which the table is complete.
func (t *Table) Revision() uint64 { return t.revision.Load() }

// Merge applies the changes that are newer than the table's items and returns
// their number.
func (t *Table) Merge(p Page) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := t.putNewer(p.Items)
	t.advance(p.Revision)
	return applied
}

// Replace applies a complete list and returns the number of applied changes. Keys
// missing from the list are marked as deleted, unless they changed after the
// list's revision.
func (t *Table) Replace(p Page) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(p.Items))
	for _, i := range p.Items {
		listed[i.Key] = true
	}
	items := p.Items
	for _, i := range t.itemsAfter(0) {
		if !i.Deleted && !listed[i.Key] && i.Revision <= p.Revision {
			items = append(items, Item{Key: i.Key, Revision: max(p.Revision, i.Revision+1), Deleted: true})
		}
	}
	applied := t.putNewer(items)
	t.advance(p.Revision)
	return applied
}

// advance raises the table's revision and closes the channel that Changed
// returned. The caller holds mu.
func (t *Table) advance(revision uint64) {
	if revision <= t.revision.Load() {
		return
	}
	t.revision.Store(revision)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed once the table's revision is greater
// than the given one.
func (t *Table) Changed(afterRevision uint64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision.Load() > afterRevision {
		done := make(chan struct{})
		close(done)
		return done
	}
	return t.changed
}

// putNewer stores the items that are newer than those held and returns their
// number. The caller holds mu.
func (t *Table) putNewer(items []Item) int {
	applied := 0
	for _, i := range items {
		if t.shard(i.Key).putIfNewer(i) {
			applied++
			t.onChange(i)
		}
	}
	return applied
}

// ChangesSince returns the items changed after a revision, including deleted
// ones.
func (t *Table) ChangesSince(afterRevision uint64) Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Page{Items: t.itemsAfter(afterRevision), Revision: t.revision.Load()}
}

func (t *Table) itemsAfter(afterRevision uint64) []Item {
	var out []Item
	for i := range t.shards {
		out = t.shards[i].appendItemsAfter(out, afterRevision)
	}
	return out
}
