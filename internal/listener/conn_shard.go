package listener

import (
	"net"
	"sync"
)

// connShard holds the tracked connections that map to this shard.
type connShard struct {
	// mu guards hasRequest.
	mu sync.Mutex
	// hasRequest is true for connections with a request in flight and false for new ones.
	// It does not hold idle connections.
	hasRequest map[net.Conn]bool
}

func (s *connShard) set(c net.Conn, hasRequest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRequest[c] = hasRequest
}

func (s *connShard) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hasRequest, c)
}

// countBusy returns the number of connections with a request in flight, and of new ones
// unless ignoreNew is set.
func (s *connShard) countBusy(ignoreNew bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, active := range s.hasRequest {
		if active || !ignoreNew {
			n++
		}
	}
	return n
}
