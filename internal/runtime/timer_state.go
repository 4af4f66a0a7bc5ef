package runtime

import (
	"sync"
	"time"
)

// timerState is the shared state of a timerSet.
type timerState struct {
	// mu guards timers and stopped.
	mu      sync.Mutex
	timers  map[*time.Timer]struct{}
	stopped bool
	running sync.WaitGroup
}

func (s *timerState) finish(timer *time.Timer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	delete(s.timers, timer)
	s.running.Add(1)
	return true
}
