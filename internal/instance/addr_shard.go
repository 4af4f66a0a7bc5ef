package instance

import "sync"

// addrShard maps each address that hashes to this shard to the instance with the
// latest revision there.
type addrShard struct {
	// mu guards byAddr.
	mu     sync.Mutex
	byAddr map[string]*Instance
}

// claim assigns the address to i unless another instance with a later claim has it. It
// returns the instance that lost the address: the previous one, or i itself if it was not
// assigned. It returns nil if no other instance had it.
func (s *addrShard) claim(i *Instance) (superseded *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.byAddr[i.Addr]
	if current == nil || current.ID == i.ID {
		s.byAddr[i.Addr] = i
		return nil
	}
	if current.claimedAfter(i) {
		return i
	}
	s.byAddr[i.Addr] = i
	return current
}

// remove releases the address of an instance if it is assigned to that instance.
func (s *addrShard) remove(i *Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.byAddr[i.Addr]; current != nil && current.ID == i.ID {
		delete(s.byAddr, i.Addr)
	}
}
