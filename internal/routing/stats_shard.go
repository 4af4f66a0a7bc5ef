package routing

import (
	"sync"
	"time"
)

// statsShard maps VM ids to statistics for the ids that hash to this shard.
type statsShard struct {
	// mu guards byVM and the statistics in it.
	mu   sync.Mutex
	byVM map[string]*upstreamStats
}

// update runs f on the statistics of a VM under the shard's lock.
func (s *statsShard) update(vm string, f func(*upstreamStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.get(vm))
}

// get returns the statistics of a VM and creates them if it has none. The caller
// holds mu.
func (s *statsShard) get(vm string) *upstreamStats {
	stats := s.byVM[vm]
	if stats == nil {
		stats = &upstreamStats{}
		s.byVM[vm] = stats
	}
	return stats
}

// expire drops VMs that have no outstanding calls and were neither a candidate
// nor observed since the given time.
func (s *statsShard) expire(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, stats := range s.byVM {
		if stats.outstanding == 0 && stats.lastUsed.Before(since) {
			delete(s.byVM, vm)
		}
	}
}
