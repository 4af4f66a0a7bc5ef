package mesh

import (
	"testing"
	"time"
)

// Guards against refusing load reports of nodes of the previous build, which name
// no limit.
func TestDecodeLoadWithoutCallLimit(t *testing.T) {
	for text, want := range map[string]float64{"3 4 18 20 125000": 0, "3 4 18 20 125000 52.4": 52.4} {
		if l := decodeLoad(text); l == nil || l.Running != 3 || l.LinkBytesPerSecond != 125000 || l.CallsPerSecond != want {
			t.Errorf("%q: got %+v, want a limit of %g", text, l, want)
		}
	}
	if l := decodeLoad("3 4 18 20"); l != nil {
		t.Errorf("got %+v from a malformed report, want nil", l)
	}
}

// Guards against a load report that loses the backlog of bodies to receive on its
// way between nodes.
func TestDecodeLoadWithReceiveBacklog(t *testing.T) {
	l := decodeLoad("3 4 18 20 125000 0 350")
	if l == nil || l.LinkBacklog != 20*time.Millisecond || l.ReceiveBacklog != 350*time.Millisecond {
		t.Errorf("got %+v, want backlogs of 20 ms and 350 ms", l)
	}
}
