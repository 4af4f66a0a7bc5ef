package routing

import (
	"sync"
	"time"
)

// beliefShard holds the beliefs about some of the VMs.
type beliefShard struct {
	// mu guards byVM and the beliefs in it.
	mu   sync.Mutex
	byVM map[string]*belief
}

// with runs f on the belief about a VM, under the shard's lock.
func (s *beliefShard) with(vm string, f func(*belief)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.get(vm))
}

func (s *beliefShard) get(vm string) *belief {
	b := s.byVM[vm]
	if b == nil {
		b = &belief{}
		s.byVM[vm] = b
	}
	return b
}

// expire forgets VMs that were neither considered nor observed since a time.
func (s *beliefShard) expire(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, b := range s.byVM {
		if b.outstanding == 0 && b.touched.Before(since) {
			delete(s.byVM, vm)
		}
	}
}
