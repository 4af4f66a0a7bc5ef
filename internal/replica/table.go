package replica

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// tableShards is the number of shards of a table, which holds about one item for
// each upstream.
const tableShards = 32

// maxGaps bounds the number of separate gaps of a table.
const maxGaps = 16

// Table is the node's copy of the published items, all of them of one era of the
// platform. It is safe for concurrent use.
type Table struct {
	shards [tableShards]shard
	// revision is the revision up to which the table is complete. It is written
	// under mu and read without: every forwarded call reads it and must not wait
	// for mu, which is held while a large version is applied.
	revision atomic.Pointer[revision.Revision]
	// mu guards changed and serialises Merge, so that onChange is called with the
	// changes of a key in the order of their revisions.
	mu sync.Mutex
	// changed is closed and replaced when revision advances.
	changed chan struct{}
	// gaps holds the ranges of revisions in which the table lacks deletions,
	// because a complete list skipped them. It is guarded by mu.
	gaps []Gap
	// listedRevision is the number of the revision of the latest complete list. It is
	// guarded by mu.
	listedRevision uint64
	// onChange is called with the applied changes of a page, one page at a time.
	onChange func([]Item)
}

// NewTable returns an empty table that reports the applied changes of each page
// together to onChange, so that it can apply what depends on other items of the
// page last. onChange is called while the table is locked and must not call it.
func NewTable(onChange func([]Item)) *Table {
	t := &Table{onChange: onChange, changed: make(chan struct{})}
	t.revision.Store(&revision.Revision{})
	for i := range t.shards {
		t.shards[i].items = map[string]Item{}
	}
	return t
}

func (t *Table) shard(key string) *shard { return &t.shards[xxhash.Sum64String(key)%tableShards] }

// Revision returns the revision up to which the table is complete.
func (t *Table) Revision() revision.Revision { return *t.revision.Load() }

// Merge applies a page that was requested with a revision of this table: its
// changes, or its complete list, that are newer than the table's items. Pages of an
// era before the table's are ignored, and so are changes of a later one: they
// continue from a state that the table does not hold.
func (t *Table) Merge(p Page) MergeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	era := t.Revision().Era
	switch {
	case p.Complete && p.Revision.Era > era:
		return t.beginEra(p)
	case p.Revision.Era != era:
		return MergeResult{}
	case p.Complete:
		return t.replace(p)
	}
	applied := t.putNewer(p.Items)
	for _, g := range p.Gaps {
		t.addGap(g)
	}
	t.advance(p.Revision)
	return MergeResult{Applied: applied}
}

// replace applies a complete list of the table's era. Keys missing from the list are
// marked as deleted, unless they changed at or after the list's revision. Items that
// are newer than the list are left out: the changes after its revision follow, and
// the table must not hold keys whose deletions a gap could skip. The caller holds mu.
func (t *Table) replace(p Page) MergeResult {
	items, listed := listedItems(p)
	for _, i := range t.itemsAfter(revision.Revision{}) {
		if !i.Deleted && !listed[i.Key] && i.Revision.Less(p.Revision) {
			items = append(items, Item{Key: i.Key, Revision: p.Revision, Deleted: true})
		}
	}
	applied := t.putNewer(items)
	after := t.Revision().Number
	if after > 0 && after == t.listedRevision {
		// Keys that were deleted during the last list may be missing from it.
		after--
	}
	t.addGap(Gap{After: after, Until: p.Revision.Number})
	t.listedRevision = max(t.listedRevision, p.Revision.Number)
	t.advance(p.Revision)
	return MergeResult{Applied: applied}
}

// beginEra replaces the table by a complete list of a later era. Revision numbers of
// the two eras cannot be compared, so all items of the list are applied, also those
// whose numbers are lower than before, and so is the deletion of each key that the list
// lacks. The caller holds mu.
func (t *Table) beginEra(p Page) MergeResult {
	items, listed := listedItems(p)
	held := map[string]Item{}
	for i := range t.shards {
		t.shards[i].takeAll(held)
	}
	dropped := 0
	for key, i := range held {
		if listed[key] {
			continue
		}
		deletion := Item{Key: key, Revision: p.Revision, Deleted: true}
		if i.Deleted {
			// Kept so that an older list of the new era cannot restore the key.
			t.shard(key).putIfNewer(deletion)
			continue
		}
		items = append(items, deletion)
		dropped++
	}
	ended := t.Revision()
	applied := t.putNewer(items)
	t.gaps = nil
	t.addGap(Gap{Until: p.Revision.Number})
	t.listedRevision = p.Revision.Number
	t.advance(p.Revision)
	return MergeResult{Applied: applied, EndedEra: ended, Dropped: dropped}
}

// listedItems returns the items of a complete list without those that are newer than
// it, and the set of all its keys.
func listedItems(p Page) (items []Item, listed map[string]bool) {
	listed = make(map[string]bool, len(p.Items))
	items = make([]Item, 0, len(p.Items))
	for _, i := range p.Items {
		listed[i.Key] = true
		if !p.Revision.Less(i.Revision) {
			items = append(items, i)
		}
	}
	return items, listed
}

// addGap records a gap unless it is empty or known. The oldest gaps are joined,
// since each compaction of the platform's history adds one. The caller holds mu.
func (t *Table) addGap(g Gap) {
	if g.After >= g.Until || slices.Contains(t.gaps, g) {
		return
	}
	t.gaps = append(t.gaps, g)
	if len(t.gaps) > maxGaps {
		oldest, next := t.gaps[0], &t.gaps[1]
		next.After, next.Until = min(oldest.After, next.After), max(oldest.Until, next.Until)
		t.gaps = t.gaps[1:]
	}
}

// advance raises the table's revision and closes the channel that Changed
// returned. The caller holds mu.
func (t *Table) advance(to revision.Revision) {
	if !t.Revision().Less(to) {
		return
	}
	t.revision.Store(&to)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed once the table's revision is greater
// than the given one.
func (t *Table) Changed(after revision.Revision) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after.Less(t.Revision()) {
		done := make(chan struct{})
		close(done)
		return done
	}
	return t.changed
}

// putNewer stores the items that are newer than those held, reports them to
// onChange and returns their number. The caller holds mu.
func (t *Table) putNewer(items []Item) int {
	var applied []Item
	for _, i := range items {
		if t.shard(i.Key).putIfNewer(i) {
			applied = append(applied, i)
		}
	}
	if len(applied) > 0 {
		t.onChange(applied)
	}
	return len(applied)
}

// ChangesSince returns the items changed after a revision, including deleted
// ones, and the gaps after it. If the table may lack the deletion of a key that a
// copy at that revision holds, or if the revision is of an earlier era, it returns a
// complete list instead.
func (t *Table) ChangesSince(after revision.Revision) Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := Page{Revision: t.Revision()}
	if after.Era != page.Revision.Era {
		if page.Revision.Less(after) {
			return page
		}
		return t.completePage()
	}
	for _, g := range t.gaps {
		if g.contains(after.Number) {
			return t.completePage()
		}
		if g.Until > after.Number {
			page.Gaps = append(page.Gaps, g)
		}
	}
	page.Items = t.itemsAfter(after)
	return page
}

// completePage returns a list of all items. The caller holds mu.
func (t *Table) completePage() Page {
	page := Page{Complete: true, Revision: t.Revision()}
	for _, i := range t.itemsAfter(revision.Revision{}) {
		if !i.Deleted {
			page.Items = append(page.Items, i)
		}
	}
	return page
}

func (t *Table) itemsAfter(after revision.Revision) []Item {
	var out []Item
	for i := range t.shards {
		out = t.shards[i].appendItemsAfter(out, after)
	}
	return out
}
