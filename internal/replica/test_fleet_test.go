package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// testFleet connects nodes by name. It implements Fetcher.
type testFleet struct {
	// mu guards nodes.
	mu    sync.Mutex
	nodes map[string]*testNode
	// delay is how much later than the parent responds the next response arrives.
	delay atomic.Int64
}

func newTestFleet() *testFleet { return &testFleet{nodes: map[string]*testNode{}} }

func (f *testFleet) get(name string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *testFleet) Fetch(ctx context.Context, addr string, after revision.Revision) (Page, error) {
	return f.get(addr).publisher.Page(ctx, FollowRequest{AfterRevision: after}), ctx.Err()
}

func (f *testFleet) Follow(ctx context.Context, addr string, r FollowRequest) (Page, error) {
	page := f.get(addr).publisher.Page(ctx, r)
	select {
	case <-time.After(time.Duration(f.delay.Swap(0))):
	case <-ctx.Done():
	}
	return page, ctx.Err()
}

func (f *testFleet) Candidates(time.Time) []string { return nil }

// add starts a leaf below a parent, or a node that reads the platform if the parent
// is empty.
func (f *testFleet) add(t *testing.T, p *testPlatform, name, parent string) *testNode {
	n := &testNode{source: &testSource{platform: p}}
	n.position.Store(&TreePosition{Parent: parent})
	if above := f.get(parent); above != nil {
		n.position.Store(&TreePosition{Parent: parent, Depth: above.position.Load().Depth + 1})
		inner := *above.position.Load()
		inner.HasChildren = true
		above.position.Store(&inner)
	}
	n.table = NewTable(func(items []Item) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, i := range items {
			if i.Deleted {
				n.deleted = append(n.deleted, i.Key)
			}
		}
	})
	n.reader = NewReader(Config{
		Source: n.source, Peers: f, Observer: discardObserver{},
		TreePosition: func() TreePosition { return *n.position.Load() },
	}, n.table)
	n.publisher = NewPublisher(n.reader)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go n.reader.Run(t.Context())
	return n
}
