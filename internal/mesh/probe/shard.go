package probe

import "sync"

// shard holds the ids of the instances that are being probed.
type shard struct {
	// mu guards active.
	mu     sync.Mutex
	active map[string]struct{}
}

// tryStart records a probe of the instance; it returns false if one is already
// running.
func (s *shard) tryStart(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.active[id]; ok {
		return false
	}
	s.active[id] = struct{}{}
	return true
}

func (s *shard) finish(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
}
