package placement

import (
	"sync"
	"time"
)

// statsShard maps instance ids to statistics for the ids that hash to this shard.
type statsShard struct {
	// mu guards byID and the statistics in it.
	mu   sync.Mutex
	byID map[string]*instanceStats
}

// update runs f on the statistics of an instance under the shard's lock. It
// creates them if the instance has none.
func (s *statsShard) update(id string, f func(*instanceStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.byID[id]
	if stats == nil {
		stats = &instanceStats{}
		s.byID[id] = stats
	}
	f(stats)
}

func (s *statsShard) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stats := range s.byID {
		if stats.outstanding == 0 && stats.lastUsed.Before(before) {
			delete(s.byID, id)
		}
	}
}
