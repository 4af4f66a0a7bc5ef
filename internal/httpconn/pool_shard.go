package httpconn

import (
	"sync"
	"time"
)

// poolShard holds the idle connections to the addresses of one shard.
type poolShard struct {
	// mu guards idle.
	mu sync.Mutex
	// idle holds the connections by address, the most recently used one last.
	idle map[string][]*conn
}

// get removes and returns the most recently used connection, or nil. It also
// removes expired connections, from the least recently used one up to the first
// that has not expired; the caller closes them.
func (s *poolShard) get(now time.Time, addr string) (c *conn, expired []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[addr]
	for len(list) > 0 && now.After(list[0].idleUntil) {
		expired = append(expired, list[0])
		list = list[1:]
	}
	if n := len(list); n > 0 {
		c = list[n-1]
		list = list[:n-1]
	}
	s.store(addr, list)
	return c, expired
}

// put adds a connection. If the address then has more than limit connections,
// it removes and returns the least recently used one, which the caller closes.
func (s *poolShard) put(addr string, c *conn, limit int) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append(s.idle[addr], c)
	var evicted *conn
	if len(list) > limit {
		evicted = list[0]
		list = list[1:]
	}
	s.store(addr, list)
	return evicted
}

// store replaces the list of an address. The caller holds mu.
func (s *poolShard) store(addr string, list []*conn) {
	if len(list) == 0 {
		delete(s.idle, addr)
		return
	}
	s.idle[addr] = list
}

// remove removes and returns all connections, or only the expired ones of each
// address, from the least recently used one up to the first that has not
// expired.
func (s *poolShard) remove(now time.Time, all bool) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for addr, list := range s.idle {
		n := 0
		for n < len(list) && (all || now.After(list[n].idleUntil)) {
			n++
		}
		out = append(out, list[:n]...)
		s.store(addr, list[n:])
	}
	return out
}
