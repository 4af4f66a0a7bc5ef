package instance

import (
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// run returns an entry of instance x, which started at startedAtMs.
func run(startedAtMs int64, state State, at revision.Revision, receivedAt time.Time) *Instance {
	return &Instance{ID: "x", Service: "s", Addr: "a:1", Slots: 4, State: state, StartedAtMs: startedAtMs, Revision: at, StateSince: receivedAt}
}

func in(era, number uint64) revision.Revision { return revision.Revision{Era: era, Number: number} }

// Guards against calls to an instance that leaves or has left, because the platform
// returned from a copy in which its entry is older than that, and against losing an
// instance for good whose entry was written again.
func TestEntryFromACopyDoesNotBringAnInstanceBack(t *testing.T) {
	put := func(d *Directory, startedAtMs int64, state State, at revision.Revision, now time.Time) {
		d.Put(run(startedAtMs, state, at, now))
	}
	drains := func(d *Directory) { put(d, 1, Draining, in(1, 8), start) }
	removed := func(d *Directory) { d.Withdraw(start, "x", in(1, 8), time.Second) }
	drainsAndIsRemoved := func(d *Directory) { drains(d); removed(d) }
	later := start.Add(3 * time.Second)
	for _, c := range []struct {
		name   string
		before func(d *Directory)
		after  func(d *Directory)
		// at is when the instance is looked at, after the later time.
		at     time.Duration
		serves bool
	}{
		{"draining, ready in the copy", drains, func(d *Directory) { put(d, 1, Ready, in(2, 5), later) }, 0, false},
		{"draining, ready in the copy for long", drains, func(d *Directory) { put(d, 1, Ready, in(2, 5), later) }, time.Minute, false},
		{"draining, ready in two copies", drains, func(d *Directory) {
			put(d, 1, Ready, in(2, 5), later)
			put(d, 1, Ready, in(3, 5), later)
		}, 0, false},
		{"draining, then ready, both written again", drains, func(d *Directory) {
			put(d, 1, Draining, in(2, 9), later)
			put(d, 1, Ready, in(2, 10), later)
		}, 0, true},
		{"draining, started anew", drains, func(d *Directory) { put(d, 2, Ready, in(2, 9), later) }, 0, true},
		{"draining, started anew, then an older copy", drains, func(d *Directory) {
			put(d, 2, Ready, in(2, 9), later)
			put(d, 2, Ready, in(3, 9), later)
		}, 0, true},
		{"draining, a copy from before its start", drains, func(d *Directory) { put(d, 0, Ready, in(2, 2), later) }, 0, false},
		{"removed, in the copy", removed, func(d *Directory) { put(d, 1, Ready, in(2, 5), later) }, 0, false},
		{"removed, in the copy, written again", removed, func(d *Directory) {
			put(d, 1, Ready, in(2, 5), later)
			put(d, 1, Ready, in(2, 9), later)
		}, 0, true},
		{"removed, in the copy, still listed later", removed, func(d *Directory) { put(d, 1, Ready, in(2, 5), later) }, restoredGrace, true},
		{"removed, in the copy, removed again", removed, func(d *Directory) {
			put(d, 1, Ready, in(2, 5), later)
			d.Lapse(later, "x", in(2, 9), time.Second)
		}, restoredGrace, false},
		{"removed in the same era, written again", removed, func(d *Directory) { put(d, 1, Ready, in(1, 9), later) }, 0, true},
		{"drained and removed, in the copy", drainsAndIsRemoved, func(d *Directory) { put(d, 1, Ready, in(2, 5), later) }, time.Minute, false},
		{"lapsed in an outage, in the copy", func(d *Directory) { d.Lapse(start, "x", in(1, 8), time.Second) }, func(d *Directory) { put(d, 1, Ready, in(2, 5), later) }, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDirectory()
			put(d, 1, Ready, in(1, 5), start)
			c.before(d)
			c.after(d)
			now := later.Add(c.at)
			d.Expire(now)
			i := d.Get("x")
			if got := i != nil && i.Serves(now); got != c.serves {
				t.Errorf("serves %t, want %t: %+v", got, c.serves, i)
			}
		})
	}
}

// Guards against an address that goes back to its former owner, which the copy still
// lists, while the instance that took it over is about to be written again.
func TestCopyDoesNotTakeAnAddressBack(t *testing.T) {
	d := NewDirectory()
	former, owner := run(1, Ready, in(1, 5), start), run(2, Ready, in(1, 8), start)
	owner.ID = "y"
	d.Put(former)
	d.Put(owner)
	again := run(1, Ready, in(2, 5), start)
	d.Put(again)
	d.Lapse(start, "y", in(2, 6), time.Second)
	if got := servingIDs(d, "s"); !got["y"] || got["x"] {
		t.Errorf("serving after the return: %v, want y", got)
	}
	rewritten := run(2, Ready, in(2, 7), start)
	rewritten.ID = "y"
	d.Put(rewritten)
	if got := servingIDs(d, "s"); !got["y"] || got["x"] {
		t.Errorf("serving after y was written again: %v, want y", got)
	}
}

// Guards against an instance that counts as cold again, and gets few calls, because an
// entry from a copy names the time that was left when it was written.
func TestEntryFromACopyDoesNotMakeAnInstanceColdAgain(t *testing.T) {
	for _, warmAt := range []time.Time{{}, start.Add(time.Second)} {
		d := NewDirectory()
		warm := run(1, Ready, in(1, 8), start)
		warm.ColdUntil = warmAt
		d.Put(warm)
		cold := run(1, Ready, in(2, 5), start)
		cold.ColdUntil = start.Add(5 * time.Second)
		d.Put(cold)
		if got := d.Get("x").ColdUntil; !got.Equal(warmAt) {
			t.Errorf("cold until %v, want %v", got, warmAt)
		}
		restarted := run(2, Ready, in(2, 9), start)
		restarted.ColdUntil = start.Add(5 * time.Second)
		d.Put(restarted)
		if got := d.Get("x").ColdUntil; !got.Equal(restarted.ColdUntil) {
			t.Errorf("cold until %v after a new start, want %v", got, restarted.ColdUntil)
		}
	}
}

// Guards against calls to an evacuated zone because the platform returned from a copy
// without the operator's request, and against an evacuation that never ends.
func TestCopyDoesNotEndAnEvacuation(t *testing.T) {
	evacuated := func(d *Directory) bool { return d.EvacuatedZones() == 1 }
	d := NewDirectory()
	d.SetEvacuated(start, "z", true, in(1, 5))
	if d.SetEvacuated(start, "z", false, in(2, 4)) || !evacuated(d) {
		t.Error("the copy without the request ended the evacuation")
	}
	d.Expire(start.Add(restoredGrace - time.Millisecond))
	d.SetEvacuated(start, "z", true, in(2, 6))
	d.Expire(start.Add(time.Hour))
	if !evacuated(d) {
		t.Error("the evacuation ended although the request was written again")
	}
	if !d.SetEvacuated(start, "z", false, in(2, 7)) || evacuated(d) {
		t.Error("the operator's word of the same era did not end the evacuation")
	}
	d.SetEvacuated(start, "z", true, in(2, 8))
	d.SetEvacuated(start, "z", false, in(3, 4))
	d.Expire(start.Add(restoredGrace))
	if evacuated(d) {
		t.Error("the evacuation goes on although the request was not written again")
	}
}
