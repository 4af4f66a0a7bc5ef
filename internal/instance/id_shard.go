package instance

import "sync"

// idShard maps ids to instances for the ids that hash to this shard.
type idShard struct {
	// mu guards byID.
	mu   sync.RWMutex
	byID map[string]*Instance
}

func (s *idShard) get(id string) *Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// put stores an instance and returns the one that it replaces, or nil.
func (s *idShard) put(i *Instance) *Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[i.ID]
	s.byID[i.ID] = i
	return old
}

func (s *idShard) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

func (s *idShard) appendAll(out []*Instance) []*Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, i := range s.byID {
		out = append(out, i)
	}
	return out
}
