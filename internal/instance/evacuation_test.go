package instance

import (
	"testing"
	"time"
)

// Guards against calls to an evacuated zone: to upstreams listed before or during the
// evacuation, after any change of their entries, and against losing them at its end.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	inZone := func(id, addr, zone string, revision uint64) *Instance {
		i := entry(id, "s", addr, revision)
		i.Zone = zone
		return i
	}
	d := NewDirectory()
	d.Put(inZone("before", "a:1", "z1", 1))
	d.Put(inZone("other", "b:1", "z2", 2))
	if !d.SetEvacuated(start, "z1", true, at(2)) || d.SetEvacuated(start, "z1", true, at(2)) {
		t.Error("SetEvacuated reports a change when there is none, or none when there is one")
	}
	d.Put(inZone("during", "c:1", "z1", 3))
	d.Put(inZone("before", "a:1", "z1", 4))
	d.Lapse(start, "before", at(5), time.Second)
	if got := servingIDs(d, "s"); len(got) != 1 || !got["other"] {
		t.Errorf("serving during the evacuation: %v, want other", got)
	}
	d.Put(inZone("before", "a:1", "z1", 6))
	d.MarkLeaving(start, d.Get("during"))
	d.SetEvacuated(start, "z1", false, at(7))
	if got := servingIDs(d, "s"); len(got) != 2 || !got["other"] || !got["before"] {
		t.Errorf("serving after the evacuation: %v, want other and before: during has said that it leaves", got)
	}
}
