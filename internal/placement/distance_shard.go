package placement

import (
	"sync"
	"time"
)

// distanceShard holds the way to some zones and back.
type distanceShard struct {
	// mu guards byZone.
	mu     sync.RWMutex
	byZone map[string]*average
}

func (s *distanceShard) observe(zone string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byZone[zone]
	if a == nil {
		a = &average{}
		s.byZone[zone] = a
	}
	a.observe(d, distanceWeight)
}

func (s *distanceShard) get(zone string) (seconds float64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if a := s.byZone[zone]; a != nil && a.set {
		return a.mean, true
	}
	return 0, false
}
