package instance

import (
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id, service, addr string, number uint64) *Instance {
	return &Instance{ID: id, Service: service, Addr: addr, Slots: 4, Revision: at(number), StateSince: start}
}

// at returns a revision of a platform that does not name its era.
func at(number uint64) revision.Revision { return revision.Revision{Number: number} }

func servingIDs(d *Directory, service string) map[string]bool {
	out := map[string]bool{}
	for _, i := range d.Service(service) {
		if i.Serves(start) {
			out[i.ID] = true
		}
	}
	return out
}

// Guards against calls to a crashed upstream whose address another one now uses.
// After a power loss of all VMs the old entries stayed listed for seconds, and
// calls to them were refused as target-gone, up to five times each.
func TestLaterEntryTakesTheAddress(t *testing.T) {
	cases := []struct {
		name    string
		entries []*Instance
	}{
		{"the later entry comes last", []*Instance{entry("old", "s", "a:1", 5), entry("new", "s", "a:1", 9)}},
		{"the later entry comes first", []*Instance{entry("new", "s", "a:1", 9), entry("old", "s", "a:1", 5)}},
		{"another service has the address", []*Instance{entry("old", "t", "a:1", 5), entry("new", "s", "a:1", 9)}},
	}
	for _, c := range cases {
		d := NewDirectory()
		d.Put(entry("other", "s", "b:1", 7))
		for _, i := range c.entries {
			d.Put(i)
		}
		if got := servingIDs(d, "s"); !got["new"] || !got["other"] || got["old"] {
			t.Errorf("%s: serving instances of s: %v, want new and other", c.name, got)
		}
		if got := servingIDs(d, "t"); len(got) != 0 {
			t.Errorf("%s: serving instances of t: %v, want none", c.name, got)
		}
		// The platform drops the old entry later; the new one keeps the address.
		d.Lapse(start, "old", at(12), time.Second)
		if got := servingIDs(d, "s"); !got["new"] || got["old"] {
			t.Errorf("%s: serving instances of s after the old entry was dropped: %v, want new and not old", c.name, got)
		}
	}
}

// Guards against counting an upstream twice when its entry changes.
func TestChangedEntryKeepsItsAddress(t *testing.T) {
	d := NewDirectory()
	for revision := range uint64(5) {
		d.Put(entry("a", "s", "a:1", revision))
	}
	if got := servingIDs(d, "s"); len(got) != 1 {
		t.Errorf("serving instances: %v, want one", got)
	}
}

// Guards against calls to an instance that said that it leaves: a later entry, a
// removal and a restored entry do not take that back, a new start under its id does.
func TestLeavingInstanceServesOnlyAfterNewStart(t *testing.T) {
	boot := func(startedAtMs int64, number uint64) *Instance {
		i := entry("x", "s", "1.1.1.1:1", number)
		i.StartedAtMs = startedAtMs
		return i
	}
	d := NewDirectory()
	d.Put(boot(1, 1))
	if !d.MarkLeaving(start, boot(1, 1)) || d.MarkLeaving(start, boot(1, 1)) {
		t.Error("the first notice must be new, the second must not")
	}
	steps := []struct {
		name   string
		change func()
		serves bool
	}{
		{"notice", func() {}, false},
		{"later entry", func() { d.Put(boot(1, 2)) }, false},
		{"removal", func() { d.Lapse(start, "x", at(3), time.Hour) }, false},
		{"restored entry", func() { d.Put(boot(1, 4)) }, false},
		{"second removal and expiry", func() {
			d.Lapse(start, "x", at(5), 0)
			d.Expire(start.Add(goneRetention + time.Second))
		}, false},
		{"entry restored after the expiry", func() { d.Put(boot(1, 6)) }, false},
		{"new start", func() { d.Put(boot(2, 7)) }, true},
		{"late notice of the old start", func() { d.MarkLeaving(start, boot(1, 1)) }, true},
	}
	for _, s := range steps {
		s.change()
		if got := servingIDs(d, "s")["x"]; got != s.serves {
			t.Errorf("after %s: serves %t, want %t", s.name, got, s.serves)
		}
	}
}
