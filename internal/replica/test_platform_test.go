package replica

import (
	"maps"
	"strconv"
	"sync"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// testPlatform is an in-memory platform that publishes items.
type testPlatform struct {
	mu      sync.Mutex
	items   map[string]Item
	at      revision.Revision
	changed chan struct{}
	// writes counts all calls of put, so that each write has a value of its own.
	writes int
}

func newTestPlatform() *testPlatform {
	return &testPlatform{items: map[string]Item{}, changed: make(chan struct{})}
}

// put publishes or deletes a key.
func (p *testPlatform) put(key string, deleted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at.Number++
	p.writes++
	p.items[key] = Item{Key: key, Value: strconv.AppendInt(nil, int64(p.writes), 10), Revision: p.at, Deleted: deleted}
	close(p.changed)
	p.changed = make(chan struct{})
}

// pageAfter returns the changes after a revision and the channel that is closed
// at the next change. A complete list holds no deleted items.
func (p *testPlatform) pageAfter(after revision.Revision, list bool) (Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := Page{Revision: p.at}
	for _, i := range p.items {
		if i.Revision.Number > after.Number && !(list && i.Deleted) {
			page.Items = append(page.Items, i)
		}
	}
	return page, p.changed
}

// copy returns a copy of the platform's state, for restore.
func (p *testPlatform) copy() (items map[string]Item, at revision.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.items), p.at
}

// restore returns from a copy in the next era. Watches that wait go on to wait.
func (p *testPlatform) restore(items map[string]Item, at revision.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = revision.Revision{Era: p.at.Era + 1, Number: at.Number}
	p.items = map[string]Item{}
	for key, i := range items {
		i.Revision.Era = p.at.Era
		p.items[key] = i
	}
}
