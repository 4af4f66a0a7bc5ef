package runtime

import (
	"sync"
	"time"
)

// timerState is the shared state of a timerSet.
type timerState struct {
	// mu guards lastID, timers and stopped.
	mu sync.Mutex
	// lastID numbers the timers: a timer may fire before its pointer is known.
	lastID  uint64
	timers  map[uint64]*time.Timer
	stopped bool
	running sync.WaitGroup
}

func (s *timerState) finish(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	delete(s.timers, id)
	s.running.Add(1)
	return true
}
