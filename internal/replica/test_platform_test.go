package replica

import "sync"

// testPlatform is an in-memory platform that publishes items.
type testPlatform struct {
	mu      sync.Mutex
	items   map[string]Item
	at      uint64
	changed chan struct{}
}

func newTestPlatform() *testPlatform {
	return &testPlatform{items: map[string]Item{}, changed: make(chan struct{})}
}

// put publishes or deletes a key.
func (p *testPlatform) put(key string, deleted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at++
	p.items[key] = Item{Key: key, Revision: p.at, Deleted: deleted}
	close(p.changed)
	p.changed = make(chan struct{})
}

// pageAfter returns the changes after a revision and the channel that is closed
// at the next change. A complete list holds no deleted items.
func (p *testPlatform) pageAfter(revision uint64, list bool) (Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := Page{Revision: p.at}
	for _, i := range p.items {
		if i.Revision > revision && !(list && i.Deleted) {
			page.Items = append(page.Items, i)
		}
	}
	return page, p.changed
}
