package replica

import "sync"

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
	if old, ok := s.items[i.Key]; ok && old.Revision >= i.Revision {
		return false
	}
	s.items[i.Key] = i
	return true
}

func (s *shard) appendItemsAfter(out []Item, afterRevision uint64) []Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, i := range s.items {
		if i.Revision > afterRevision {
			out = append(out, i)
		}
	}
	return out
}
