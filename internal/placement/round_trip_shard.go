package placement

import (
	"sync"
	"time"
)

// roundTripShard maps zones to round-trip times for the zones that hash to this
// shard.
type roundTripShard struct {
	// mu guards byZone and the averages in it.
	mu     sync.RWMutex
	byZone map[string]*average
}

func (s *roundTripShard) observe(zone string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byZone[zone]
	if a == nil {
		a = &average{}
		s.byZone[zone] = a
	}
	a.observe(d, roundTripWeight)
}

func (s *roundTripShard) get(zone string) (seconds float64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if a := s.byZone[zone]; a != nil && a.initialized {
		return a.mean, true
	}
	return 0, false
}
