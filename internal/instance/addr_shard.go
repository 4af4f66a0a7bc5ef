package instance

import "sync"

// addrShard holds the latest instance at each of some addresses.
type addrShard struct {
	// mu guards byAddr.
	mu     sync.Mutex
	byAddr map[string]*Instance
}

// take records an instance at its address. It returns the other instance whose
// entry was written earlier, or nil: the address was given to the later one.
func (s *addrShard) take(i *Instance) (earlier *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.byAddr[i.Addr]
	if held == nil || held.ID == i.ID {
		s.byAddr[i.Addr] = i
		return nil
	}
	if held.Revision > i.Revision {
		return i
	}
	s.byAddr[i.Addr] = i
	return held
}

// remove forgets an instance if it is the latest at its address.
func (s *addrShard) remove(i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.byAddr[i.Addr]; held != nil && held.ID == i.ID {
		delete(s.byAddr, i.Addr)
	}
}
