package instance

import "sync"

// addrShard maps addresses to the latest instance at each, for the addresses
// that hash to this shard.
type addrShard struct {
	// mu guards byAddr.
	mu     sync.Mutex
	byAddr map[string]*Instance
}

// claim assigns the address to i unless another instance with a later revision
// has it. It returns the instance that does not have the address (i itself or
// the previous one), or nil if no other instance had it.
func (s *addrShard) claim(i *Instance) (superseded *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.byAddr[i.Addr]
	if current == nil || current.ID == i.ID {
		s.byAddr[i.Addr] = i
		return nil
	}
	if current.Revision > i.Revision {
		return i
	}
	s.byAddr[i.Addr] = i
	return current
}

// remove deletes an instance if it is the latest at its address.
func (s *addrShard) remove(i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.byAddr[i.Addr]; current != nil && current.ID == i.ID {
		delete(s.byAddr, i.Addr)
	}
}
