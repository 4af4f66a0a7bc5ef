package mesh

import "sync"

// proberShard holds the ids of the instances that are being probed.
type proberShard struct {
	// mu guards running.
	mu      sync.Mutex
	running map[string]struct{}
}

// begin reports whether no probe of the instance was running.
func (s *proberShard) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[id]; ok {
		return false
	}
	s.running[id] = struct{}{}
	return true
}

func (s *proberShard) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}
