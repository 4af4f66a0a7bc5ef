package feed

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/snapshot"
)

// entryDecoder decodes the item "version" as a configuration version, any other as
// the entry of an upstream whose ID is the key.
type entryDecoder struct{}

func (entryDecoder) Decode(now time.Time, item replica.Item) (Change, error) {
	if item.Key == "version" {
		doc, err := config.CompileBody(config.SectionBody{
			Section: "main", Owner: "ops", Ranks: []config.Rank{{Name: "r", TargetMs: 1000, Worth: 1}},
		})
		return Change{Snapshot: snapshot.NewUnsigned(item.Revision.Number, nil, doc)}, err
	}
	if item.Deleted {
		return Change{RemovedID: item.Key}, nil
	}
	return Change{Instance: &instance.Instance{ID: item.Key, Service: "s", Addr: "127.0.0.1:1", Slots: 1, StateSince: now}}, nil
}

// Guards against calls to an upstream later than the drain bound (2.5 s) after
// its entry was removed: the longer grace period, meant for entries that expire
// in an outage, was once applied without an outage too. Also guards against
// dropping upstreams whose entries are restored after an outage.
func TestGraceOfRemovedEntries(t *testing.T) {
	for _, c := range []struct {
		unstable bool
		after    time.Duration
		serves   bool
	}{
		{false, 500 * time.Millisecond, true},
		{false, 1100 * time.Millisecond, false},
		{true, 2 * time.Second, true},
		{true, 2400 * time.Millisecond, false},
	} {
		d := instance.NewDirectory()
		a := NewApplier(entryDecoder{}, snapshot.NewStore(), d, hclog.NewNullLogger())
		a.Unstable = func(time.Time) bool { return c.unstable }
		a.Apply([]replica.Item{{Key: "i", Revision: revision.Revision{Number: 1}}})
		a.Apply([]replica.Item{{Key: "i", Revision: revision.Revision{Number: 2}, Deleted: true}})
		if got := d.Get("i").Serves(time.Now().Add(c.after)); got != c.serves {
			t.Errorf("unstable %t, %s after the removal: Serves returned %t", c.unstable, c.after, got)
		}
	}
}

// Guards against a version in force whose upstreams come later in the same page,
// and against removing upstreams before the version that stops routing to them.
func TestPageAppliesUpstreamsThenVersionThenRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var out bytes.Buffer
		a := NewApplier(entryDecoder{}, snapshot.NewStore(), instance.NewDirectory(), hclog.New(&hclog.LoggerOptions{Output: &out}))
		a.Apply([]replica.Item{{Key: "old", Revision: revision.Revision{Number: 1}}})
		out.Reset()
		a.Apply(rapid.Permutation([]replica.Item{
			{Key: "old", Revision: revision.Revision{Number: 2}, Deleted: true}, {Key: "version", Revision: revision.Revision{Number: 3}}, {Key: "new", Revision: revision.Revision{Number: 4}}, {Key: "next", Revision: revision.Revision{Number: 5}},
		}).Draw(t, "page"))
		var order []string
		for line := range strings.Lines(out.String()) {
			for _, event := range []string{"listed", "in force", "removed"} {
				if strings.Contains(line, event) {
					order = append(order, event)
				}
			}
		}
		if got := strings.Join(order, ", "); got != "listed, listed, in force, removed" {
			t.Fatalf("applied in the order %s", got)
		}
	})
}
