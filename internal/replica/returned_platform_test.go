package replica

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// contactTime is contact_ms, the time after a disruption from which a node counts as in
// touch with the platform.
const contactTime = 4 * time.Second

// Guards against a change that is never applied because the platform, after its return
// from a copy, gives it a revision number that it gave out before, or a lower one: with
// fewer, as many and more writes than were lost, and whichever nodes can read the
// platform meanwhile.
func TestChangeArrivesInTimeAfterPlatformReturnsFromCopy(t *testing.T) {
	const lost, depth = 3, 3
	for again := range lost + 3 {
		for cut := range 1 << (depth + 1) {
			t.Run(fmt.Sprintf("%d writes again, cut %04b", again, cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					platform, chain := startChain(t, depth)
					items, at := platform.copy()
					for range lost {
						platform.put("config", false)
					}
					platform.put("servers/new", false)
					time.Sleep(2 * time.Second)
					for n, node := range chain {
						node.source.cut.Store(cut&(1<<n) != 0)
					}
					platform.restore(items, at)
					for range again {
						platform.put("config", false)
					}
					time.Sleep(5 * time.Second)
					for _, node := range chain {
						node.source.cut.Store(false)
					}
					time.Sleep(contactTime)
					platform.put("config", false)
					time.Sleep(configApplyBound)
					for n, node := range chain {
						if got, want := node.item("config"), platform.item("config"); !sameItem(got, want) {
							t.Errorf("node %d holds %+v %s after the change, want %+v", n, got, configApplyBound, want)
						}
						if got := node.item("servers/new"); got.Revision.Number > 0 && !got.Deleted {
							t.Errorf("node %d holds an entry that was lost: %+v", n, got)
						}
					}
				})
			})
		}
	}
}

// Guards against tables that differ from the platform, or from each other at the same
// revision, after it returned from a copy, in whatever order nodes list, watch and read
// from each other, also if some never saw an era or a list spans a return.
func TestTablesFollowThePlatformThroughReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := newTestPlatform()
		tables := make([]*Table, 4)
		reported := make([]map[string]Item, len(tables))
		for i := range tables {
			reported[i] = map[string]Item{}
			tables[i] = NewTable(func(items []Item) {
				for _, item := range items {
					if held := reported[i][item.Key]; !held.Revision.Less(item.Revision) {
						t.Fatalf("table %d applied %+v after %+v", i, item, held)
					}
					reported[i][item.Key] = item
				}
			})
		}
		items, at := platform.copy()
		index := rapid.IntRange(0, len(tables)-1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			table := tables[index.Draw(t, "table")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				platform.put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				page, _ := platform.pageAfter(revision.Revision{}, true)
				page.Complete = true
				table.Merge(page)
			case 3:
				if page, _ := platform.pageAfter(table.Revision(), false); page.Revision.Number >= table.Revision().Number {
					table.Merge(page)
				}
			case 4:
				table.Merge(tables[index.Draw(t, "peer")].ChangesSince(table.Revision()))
			case 5:
				if rapid.Bool().Draw(t, "copy") {
					items, at = platform.copy()
				} else {
					platform.restore(items, at)
				}
			}
		}
		for n, table := range tables {
			// A watch of the last era, after a list if the table holds an earlier one.
			if table.Revision().Era < platform.at.Era || table.Revision().IsZero() {
				page, _ := platform.pageAfter(revision.Revision{}, true)
				page.Complete = true
				table.Merge(page)
			}
			page, _ := platform.pageAfter(table.Revision(), false)
			table.Merge(page)
			for _, key := range []string{"a", "b", "c", "d"} {
				want := platform.items[key]
				for what, got := range map[string]Item{"holds": itemOf(table, key), "applied": reported[n][key]} {
					gone, wantGone := got.Revision.IsZero() || got.Deleted, want.Revision.IsZero() || want.Deleted
					if gone != wantGone || !gone && !sameItem(got, want) {
						t.Fatalf("table %d %s %s as %+v, want %+v", n, what, key, got, want)
					}
				}
			}
		}
	})
}

// Guards against a late response of an earlier era that undoes the new one or counts as
// a confirmation of it, and against changes that are applied without the list that they
// continue from.
func TestPagesOfOtherErasAreIgnored(t *testing.T) {
	table := NewTable(func([]Item) {})
	in := func(era, number uint64) revision.Revision { return revision.Revision{Era: era, Number: number} }
	table.Merge(Page{Complete: true, Revision: in(2, 5), Items: []Item{{Key: "a", Revision: in(2, 4)}}})
	for _, page := range []Page{
		{Complete: true, Revision: in(1, 9), Items: []Item{{Key: "a", Revision: in(1, 9)}}},
		{Revision: in(1, 9), Items: []Item{{Key: "a", Revision: in(1, 9)}}},
		{Revision: in(3, 9), Items: []Item{{Key: "a", Revision: in(3, 9)}}},
		{Complete: true, Revision: in(0, 9), Items: []Item{{Key: "b", Revision: in(0, 9)}}},
	} {
		if got := table.Merge(page); got != (MergeResult{}) || table.Revision() != in(2, 5) || itemOf(table, "a").Revision != in(2, 4) {
			t.Errorf("%+v: got %+v, the table is at %v", page, got, table.Revision())
		}
	}
	if got := table.ChangesSince(in(3, 1)); len(got.Items) > 0 || got.Complete || got.Revision != in(2, 5) {
		t.Errorf("a node of a later era gets %+v, want the revision only", got)
	}
}

// Guards against a node that counts entries as removed for good that are about to be
// written again, and against one that goes on to wait for them when the platform is stable
// again (contactTime after the return), when a removal is the notice of an upstream.
func TestReturnOfThePlatformMakesNodesUnstable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, chain := startChain(t, 2)
		items, at := platform.copy()
		platform.restore(items, at)
		for elapsed := time.Duration(0); elapsed < contactTime; elapsed += 50 * time.Millisecond {
			// Nodes that learn of the return at this instant are done with it.
			synctest.Wait()
			for n, node := range chain {
				learned := node.table.Revision().Era == 1
				if !learned && node.reader.Unstable(time.Now()) || learned && elapsed < 2*time.Second && !node.reader.Unstable(time.Now()) {
					t.Fatalf("node %d at %v, %s after the return: unstable is %t", n, node.table.Revision(), elapsed, !learned)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		for n, node := range chain {
			if node.table.Revision().Era != 1 || node.reader.Unstable(time.Now()) {
				t.Errorf("node %d is at %v, unstable: %t", n, node.table.Revision(), node.reader.Unstable(time.Now()))
			}
		}
	})
}

// Guards against a node that refuses all reads of a platform that stops naming its era.
func TestReadsWithoutEraBelongToTheEraThatIsHeld(t *testing.T) {
	page := Page{EraUnknown: true, Revision: revision.Revision{Number: 7}, Items: []Item{{Key: "a", Revision: revision.Revision{Number: 6}}}}
	got := page.assumeEra(4)
	if got.Revision.String() != "4.7" || got.Items[0].Revision.String() != "4.6" || !page.Items[0].Revision.Less(got.Items[0].Revision) {
		t.Errorf("got %+v", got)
	}
	if known := (Page{Revision: revision.Revision{Number: 7}}).assumeEra(4); known.Revision.Era != 0 {
		t.Errorf("a page of era 0 became %+v", known)
	}
}

func itemOf(table *Table, key string) Item {
	for _, i := range table.ChangesSince(revision.Revision{Era: table.Revision().Era}).Items {
		if i.Key == key {
			return i
		}
	}
	return Item{}
}

func (n *testNode) item(key string) Item { return itemOf(n.table, key) }

func (p *testPlatform) item(key string) Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.items[key]
}

func sameItem(a, b Item) bool {
	return a.Key == b.Key && a.Revision == b.Revision && a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}
