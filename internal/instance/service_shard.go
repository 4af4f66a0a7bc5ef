package instance

import "sync"

// serviceShard maps services to their instances for the services that hash to
// this shard.
type serviceShard struct {
	// mu guards byService. Its slices are replaced and never modified, so
	// readers may use them without the lock.
	mu        sync.RWMutex
	byService map[string][]*Instance
}

func (s *serviceShard) instances(name string) []*Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[name]
}

func (s *serviceShard) put(i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byService[i.Service] = append(s.without(i.Service, i.ID), i)
}

func (s *serviceShard) remove(service, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if others := s.without(service, id); len(others) > 0 {
		s.byService[service] = others
	} else {
		delete(s.byService, service)
	}
}

// without returns a copy of the instances of a service except the one with id.
// The caller holds mu.
func (s *serviceShard) without(service, id string) []*Instance {
	old := s.byService[service]
	others := make([]*Instance, 0, len(old)+1)
	for _, i := range old {
		if i.ID != id {
			others = append(others, i)
		}
	}
	return others
}
