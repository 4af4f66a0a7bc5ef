package replica

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// tableShards spreads one item per server.
const tableShards = 32

// Table is the node's copy. It is safe for concurrent use.
type Table struct {
	shards [tableShards]shard
	// at is the revision that the table is complete to. It is written under mu
	// and read without, since each call reads it and a large version is applied
	// under mu.
	at atomic.Uint64
	// mu guards changed and orders Merge, so that observers see the changes of one
	// key in the order of their revisions.
	mu sync.Mutex
	// changed is closed and replaced when at advances.
	changed chan struct{}
	// observe is called with each change, one at a time.
	observe func(Item)
}

// NewTable returns an empty table that reports each change to observe.
func NewTable(observe func(Item)) *Table {
	t := &Table{observe: observe, changed: make(chan struct{})}
	for i := range t.shards {
		t.shards[i].items = map[string]Item{}
	}
	return t
}

func (t *Table) shard(key string) *shard { return &t.shards[xxhash.Sum64String(key)%tableShards] }

// Revision returns the revision that the table is complete to.
func (t *Table) Revision() uint64 { return t.at.Load() }

// Merge adds changes and returns how many were news.
func (t *Table) Merge(p Page) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.put(p.Items)
	t.advance(p.Revision)
	return news
}

// Replace merges a whole list: keys that it lacks were deleted, unless they
// changed after it was made.
func (t *Table) Replace(p Page) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(p.Items))
	for _, i := range p.Items {
		listed[i.Key] = true
	}
	items := p.Items
	for _, i := range t.since(0) {
		if !i.Deleted && !listed[i.Key] && i.Revision <= p.Revision {
			items = append(items, Item{Key: i.Key, Revision: max(p.Revision, i.Revision+1), Deleted: true})
		}
	}
	news := t.put(items)
	t.advance(p.Revision)
	return news
}

func (t *Table) advance(at uint64) {
	if at <= t.at.Load() {
		return
	}
	t.at.Store(at)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the table is complete to a
// revision after the given one.
func (t *Table) Changed(after uint64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at.Load() > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return t.changed
}

func (t *Table) put(items []Item) int {
	news := 0
	for _, i := range items {
		if t.shard(i.Key).put(i) {
			news++
			t.observe(i)
		}
	}
	return news
}

// Since returns the changes after a revision, deletions included.
func (t *Table) Since(after uint64) Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Page{Items: t.since(after), Revision: t.at.Load()}
}

func (t *Table) since(after uint64) []Item {
	var out []Item
	for i := range t.shards {
		out = t.shards[i].appendSince(out, after)
	}
	return out
}
