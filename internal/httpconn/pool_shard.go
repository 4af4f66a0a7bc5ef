package httpconn

import (
	"sync"
	"time"
)

// poolShard holds the idle connections to some addresses.
type poolShard struct {
	// mu guards idle. The connection used last is at the end.
	mu   sync.Mutex
	idle map[string][]*conn
}

// get returns the connection used last, or nil. Connections idle for too long
// are returned in expired for closing.
func (s *poolShard) get(now time.Time, addr string) (c *conn, expired []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[addr]
	for len(list) > 0 && now.After(list[0].keepUntil) {
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

// put keeps a connection and returns one to close if there are too many.
func (s *poolShard) put(addr string, c *conn, limit int) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append(s.idle[addr], c)
	var drop *conn
	if len(list) > limit {
		drop = list[0]
		list = list[1:]
	}
	s.store(addr, list)
	return drop
}

func (s *poolShard) store(addr string, list []*conn) {
	if len(list) == 0 {
		delete(s.idle, addr)
		return
	}
	s.idle[addr] = list
}

// take removes the connections that are idle for too long, or all.
func (s *poolShard) take(now time.Time, all bool) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for addr, list := range s.idle {
		n := 0
		for n < len(list) && (all || now.After(list[n].keepUntil)) {
			n++
		}
		out = append(out, list[:n]...)
		s.store(addr, list[n:])
	}
	return out
}
