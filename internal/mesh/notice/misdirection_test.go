package notice

import (
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// Guards against asking an upstream that has restarted under another id for the
// old instance at each call, and against never asking it again.
func TestMisdirectionAdmitsOneCallPerPause(t *testing.T) {
	var m Misdirection
	now := time.Unix(1000, 0)
	old := &instance.Instance{ID: "old", StartedAtMs: 1}
	if m.Blocks(now, old) || !m.Admits(now, old) {
		t.Fatal("a call is refused before the upstream has refused one")
	}
	m.Record(now, old)
	admitted := 0
	for ms := range 15_000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		if !m.Blocks(at, old) && m.Admits(at, old) {
			admitted++
		}
	}
	if admitted != 3 {
		t.Errorf("%d calls admitted in 15 s, want 3: after 1, 3 and 7 s", admitted)
	}
	for _, i := range []*instance.Instance{{ID: "new", StartedAtMs: 2}, {ID: "old", StartedAtMs: 2}} {
		if m.Blocks(now, i) || !m.Admits(now, i) {
			t.Errorf("a call to %s started at %d ms is refused", i.ID, i.StartedAtMs)
		}
	}
	m.Clear(old)
	if m.Blocks(now, old) || !m.Admits(now, old) {
		t.Error("a call is refused after the upstream has answered one")
	}
}
