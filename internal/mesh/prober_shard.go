package mesh

import "sync"

// proberShard holds the addresses that are being probed.
type proberShard struct {
	// mu guards running.
	mu      sync.Mutex
	running map[string]struct{}
}

// begin reports whether no probe of the address was running.
func (s *proberShard) begin(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[addr]; ok {
		return false
	}
	s.running[addr] = struct{}{}
	return true
}

func (s *proberShard) end(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, addr)
}
