package replica

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// at returns a revision of a platform that does not name its era.
func at(number uint64) revision.Revision { return revision.Revision{Number: number} }

// Guards against a table that replaces an item by an older one, or whose content
// depends on the order in which changes arrive from the platform and from peers.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []Item
		n := rapid.IntRange(1, 30).Draw(t, "changes")
		for i := range n {
			changes = append(changes, Item{
				Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Revision: at(uint64(i + 1)),
				Deleted: rapid.Bool().Draw(t, "deleted"),
			})
		}
		newest := map[string]Item{}
		for _, i := range changes {
			newest[i.Key] = i
		}
		lastRevision := map[string]revision.Revision{}
		table := NewTable(func(items []Item) {
			for _, i := range items {
				if !lastRevision[i.Key].Less(i.Revision) {
					t.Fatalf("%s went from revision %v to %v", i.Key, lastRevision[i.Key], i.Revision)
				}
				lastRevision[i.Key] = i.Revision
			}
		})
		for _, i := range rapid.Permutation(changes).Draw(t, "order") {
			table.Merge(Page{Items: []Item{i}, Revision: i.Revision})
		}
		for _, got := range table.ChangesSince(at(0)).Items {
			if want := newest[got.Key]; got.Revision != want.Revision || got.Deleted != want.Deleted {
				t.Fatalf("%s is %+v, want %+v", got.Key, got, want)
			}
		}
		if table.Revision() != at(uint64(n)) {
			t.Fatalf("table is at revision %v, want %d", table.Revision(), n)
		}
	})
}

// Guards against keys that remain although a complete list no longer has them,
// and against deleting keys that changed after the list's revision.
func TestReplaceDeletesMissingKeys(t *testing.T) {
	table := NewTable(func([]Item) {})
	table.Merge(Page{Items: []Item{{Key: "old", Revision: at(3)}, {Key: "new", Revision: at(9)}}, Revision: at(9)})
	table.Merge(Page{Items: []Item{{Key: "kept", Revision: at(4)}}, Revision: at(7), Complete: true})
	got := map[string]bool{}
	for _, i := range table.ChangesSince(at(0)).Items {
		got[i.Key] = !i.Deleted
	}
	if got["old"] || !got["new"] || !got["kept"] {
		t.Errorf("present keys are %v, want new and kept only", got)
	}
}

// Guards against keys that stay in one node's table after their deletion, in
// whatever order nodes list all items, watch and read from each other.
func TestTablesForgetDeletedKeysWhateverTheSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := newTestPlatform()
		tables := make([]*Table, 4)
		for i := range tables {
			tables[i] = NewTable(func([]Item) {})
		}
		index := rapid.IntRange(0, len(tables)-1)
		put := func() {
			platform.put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			table := tables[index.Draw(t, "table")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				put()
			case 1:
				// The second part of the list is read after a further change.
				page, _ := platform.pageAfter(at(0), true)
				put()
				rest, _ := platform.pageAfter(at(0), true)
				first := func(i Item) bool { return i.Key < "c" }
				page.Items = append(slices.DeleteFunc(page.Items, func(i Item) bool { return !first(i) }), slices.DeleteFunc(rest.Items, first)...)
				page.Complete = true
				table.Merge(page)
			case 2:
				if !table.Revision().IsZero() {
					page, _ := platform.pageAfter(table.Revision(), false)
					table.Merge(page)
				}
			case 3:
				table.Merge(tables[index.Draw(t, "peer")].ChangesSince(table.Revision()))
			}
		}
		for n, table := range tables {
			reached, held := table.Revision(), map[string]Item{}
			for _, i := range table.ChangesSince(at(0)).Items {
				held[i.Key] = i
			}
			for key, now := range platform.items {
				if reached.Less(now.Revision) {
					continue
				}
				if got := held[key]; now.Deleted && !got.Revision.IsZero() && !got.Deleted || !now.Deleted && got.Revision != now.Revision {
					t.Fatalf("table %d at revision %v holds %s as %+v, want %+v", n, reached, key, got, now)
				}
			}
		}
	})
}
