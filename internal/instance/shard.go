package instance

import "sync"

// shard holds the instances of some services.
type shard struct {
	// mu guards byService. The slices are replaced, never changed, so that
	// readers may keep them.
	mu        sync.RWMutex
	byService map[string][]*Instance
}

func (s *shard) service(name string) []*Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[name]
}

func (s *shard) put(i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byService[i.Service] = append(s.without(i.Service, i.ID), i)
}

func (s *shard) remove(service, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rest := s.without(service, id); len(rest) > 0 {
		s.byService[service] = rest
	} else {
		delete(s.byService, service)
	}
}

// without copies the instances of a service except one.
func (s *shard) without(service, id string) []*Instance {
	old := s.byService[service]
	rest := make([]*Instance, 0, len(old)+1)
	for _, i := range old {
		if i.ID != id {
			rest = append(rest, i)
		}
	}
	return rest
}
