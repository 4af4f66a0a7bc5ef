package sidecar_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/feed"
	"github.com/filbertpier/filbertpier/internal/replica"
)

// heldDecoder decodes like decoder, but holds the entries of upstreams back until
// release is closed. held is closed when the first one is held back.
type heldDecoder struct {
	decoder
	once          sync.Once
	held, release chan struct{}
}

func (d *heldDecoder) Decode(now time.Time, item replica.Item) (feed.Change, error) {
	if strings.HasPrefix(item.Key, "up/") {
		d.once.Do(func() { close(d.held) })
		<-d.release
	}
	return d.decoder.Decode(now, item)
}

// checkReadyWithUpstreams starts the node of a VM and checks that it becomes ready
// after it has applied the upstreams of its first list, not before.
func checkReadyWithUpstreams(t *testing.T, v *vm) {
	t.Helper()
	held := &heldDecoder{held: make(chan struct{}), release: make(chan struct{})}
	v.decoder = held
	v.start()
	<-held.held
	if v.ready() {
		t.Error("the node reports ready before it has applied the upstreams of its list")
	}
	close(held.release)
	await(t, "the node to be ready", v.ready)
	if got := v.call("POST", "/once/x"); got.status != http.StatusOK {
		t.Errorf("first call after ready: got %+v, want status 200", got)
	}
}

// Guards against a node that reports ready while it applies its first list: its
// version was in force before the upstreams of the same list, so calls in between
// were refused for lack of an upstream.
func TestNodeIsReadyOnceTheUpstreamsOfItsListAreKnown(t *testing.T) {
	f := newFleet(t)
	checkReadyWithUpstreams(t, f.add("a", "z1", respondAfter(0)))
}

// Guards against the same at a node that gets its first list from another node,
// because it cannot reach the store.
func TestNodeIsReadyOnceTheUpstreamsOfAPeerAreKnown(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(0)).start()
	await(t, "the first node to be ready", a.ready)
	b := f.add("a", "z1", respondAfter(0))
	b.source.down.Store(true)
	checkReadyWithUpstreams(t, b)
}
