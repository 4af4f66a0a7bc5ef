package placement

import (
	"sync"
	"time"
)

// shard holds the beliefs about some instances.
type shard struct {
	// mu guards byID and the beliefs in it.
	mu   sync.Mutex
	byID map[string]*belief
}

// with runs f on the belief about an instance under the shard's lock.
func (s *shard) with(id string, f func(*belief)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[id]
	if b == nil {
		b = &belief{}
		s.byID[id] = b
	}
	f(b)
}

func (s *shard) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.byID {
		if b.outstanding == 0 && b.touched.Before(before) {
			delete(s.byID, id)
		}
	}
}
