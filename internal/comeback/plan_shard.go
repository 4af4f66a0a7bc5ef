package comeback

import "sync"

// planShard holds the plans of the keys that hash to this shard.
type planShard struct {
	// mu guards plans and what they point to.
	mu    sync.Mutex
	plans map[Key]*plan
}

func (s *planShard) update(k Key, f func(*plan)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.plans[k]
	if p == nil {
		p = &plan{}
		s.plans[k] = p
	}
	f(p)
}
