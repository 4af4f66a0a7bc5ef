package replica

import (
	"maps"
	"sync"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// shard holds the items whose keys hash to it, including deleted keys.
type shard struct {
	// mu guards items.
	mu    sync.RWMutex
	items map[string]Item
}

// putIfNewer stores an item unless the shard holds the same or a newer revision
// of its key, and reports whether it did.
func (s *shard) putIfNewer(i Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[i.Key]; ok && !old.Revision.Less(i.Revision) {
		return false
	}
	s.items[i.Key] = i
	return true
}

func (s *shard) appendItemsAfter(out []Item, after revision.Revision) []Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, i := range s.items {
		if after.Less(i.Revision) {
			out = append(out, i)
		}
	}
	return out
}

// takeAll empties the shard and adds what it held to out.
func (s *shard) takeAll(out map[string]Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(out, s.items)
	s.items = map[string]Item{}
}
