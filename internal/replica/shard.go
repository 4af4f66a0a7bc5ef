package replica

import "sync"

// shard holds the items of some keys, deleted ones included.
type shard struct {
	// mu guards items.
	mu    sync.RWMutex
	items map[string]Item
}

// put stores an item unless a newer one is known.
func (s *shard) put(i Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[i.Key]; ok && old.Revision >= i.Revision {
		return false
	}
	s.items[i.Key] = i
	return true
}

func (s *shard) appendSince(out []Item, after uint64) []Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, i := range s.items {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	return out
}
