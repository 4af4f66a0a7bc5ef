package main

import "sync"

// ledgerShard holds the attempts whose ids hash to one shard.
type ledgerShard struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[string]*attempt
}

func (s *ledgerShard) update(id string, f func(*attempt)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byID[id]
	if a == nil {
		a = &attempt{}
		s.byID[id] = a
	}
	f(a)
}
