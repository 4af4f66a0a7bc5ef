package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/snapshot"
)

// keyedDecoder decodes each item as the entry of an upstream whose ID and address are the
// key.
type keyedDecoder struct{}

func (keyedDecoder) Decode(now time.Time, item replica.Item) (Change, error) {
	if item.Deleted {
		return Change{RemovedID: item.Key}, nil
	}
	return Change{Instance: &instance.Instance{ID: item.Key, Service: "s", Addr: item.Key, Slots: 1, StateSince: now, Revision: item.Revision}}, nil
}

// Guards against an upstream that counts as removed for good although its entry was
// written again: after an outage one page brings the removal of an entry that expired and,
// at a later revision, the entry itself.
func TestDirectoryHoldsWhatThePlatformHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := instance.NewDirectory()
		a := NewApplier(keyedDecoder{}, snapshot.NewStore(), directory, hclog.NewNullLogger())
		unstable := false
		a.Unstable = func(time.Time) bool { return unstable }
		table := replica.NewTable(a.Apply)
		keys := []string{"a", "b", "c"}
		listed := map[string]replica.Item{}
		var page replica.Page
		flush := func(complete bool) {
			if complete {
				page.Items = nil
				for _, i := range listed {
					page.Items = append(page.Items, i)
				}
			}
			page.Complete = complete
			table.Merge(page)
			page.Items = nil
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "writes") {
			item := replica.Item{Key: rapid.SampledFrom(keys).Draw(t, "key"), Revision: revision.Revision{Era: 1, Number: uint64(n + 1)}}
			if item.Deleted = rapid.Bool().Draw(t, "removed"); item.Deleted {
				delete(listed, item.Key)
			} else {
				listed[item.Key] = item
			}
			page.Items, page.Revision = append(page.Items, item), item.Revision
			unstable = rapid.Bool().Draw(t, "unstable")
			if rapid.IntRange(0, 2).Draw(t, "page ends") == 0 {
				// The first page has to be a list: the table holds no era before it.
				flush(table.Revision().IsZero() || rapid.IntRange(0, 3).Draw(t, "list") == 0)
			}
		}
		flush(table.Revision().IsZero())
		// Each entry that is no longer listed is gone after its grace period.
		later := time.Now().Add(time.Minute)
		for _, key := range keys {
			_, want := listed[key]
			if i := directory.Get(key); (i != nil && i.Serves(later)) != want {
				t.Fatalf("upstream %s is %s, listed: %t", key, describe(i, later), want)
			}
		}
	})
}

func describe(i *instance.Instance, now time.Time) string {
	if i == nil {
		return "unknown"
	}
	return fmt.Sprintf("%s at revision %v", i.StateAt(now), i.Revision)
}
