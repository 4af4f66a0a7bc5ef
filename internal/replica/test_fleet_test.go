package replica

import (
	"context"
	"testing"
	"time"
)

// testFleet connects nodes by name. It implements Fetcher.
type testFleet struct{ nodes map[string]*testNode }

func (f *testFleet) Fetch(ctx context.Context, addr string, after uint64) (Page, error) {
	return f.nodes[addr].publisher.Page(ctx, after, 0), ctx.Err()
}

func (f *testFleet) Follow(ctx context.Context, addr string, after uint64, wait time.Duration) (Page, error) {
	return f.nodes[addr].publisher.Page(ctx, after, wait), ctx.Err()
}

func (f *testFleet) Candidates(time.Time) []string { return nil }

// add starts a node below a parent, or one that reads the platform if the parent
// is empty.
func (f *testFleet) add(t *testing.T, p *testPlatform, name, parent string) *testNode {
	n := &testNode{source: &testSource{platform: p}}
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
		TreePosition: func() TreePosition { return TreePosition{Parent: parent} },
	}, n.table)
	n.publisher = NewPublisher(n.reader)
	f.nodes[name] = n
	go n.reader.Run(t.Context())
	return n
}
