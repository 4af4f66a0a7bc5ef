package intake

import "sync"

// connShard holds the connections whose numbers map to this shard.
type connShard struct {
	// mu guards conns.
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

func (s *connShard) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *connShard) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// each calls visit for each connection. visit must not use the shard.
func (s *connShard) each(visit func(*Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		visit(c)
	}
}
