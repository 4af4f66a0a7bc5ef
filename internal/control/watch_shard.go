package control

import (
	"sync"
	"time"
)

// watchShard holds when members were last heard.
type watchShard struct {
	// mu guards heard.
	mu    sync.Mutex
	heard map[string]time.Time
}

func (s *watchShard) mark(vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, watched := s.heard[vm]; watched {
		s.heard[vm] = now
	}
}

// since returns how long a member has been silent; watching starts with the
// first call.
func (s *watchShard) since(vm string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.heard[vm]
	if !ok {
		s.heard[vm] = now
		return 0
	}
	return now.Sub(last)
}

func (s *watchShard) retain(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm := range s.heard {
		if !keep[vm] {
			delete(s.heard, vm)
		}
	}
}

func (s *watchShard) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.heard)
}
