package runtime

import (
	"sync"
	"time"
)

// timerState is the shared state of a timerSet.
type timerState struct {
	// mu guards lastID, timers and stopped.
	mu sync.Mutex
	// lastID is the id of the last timer. Timers are identified by id, not by
	// pointer, because one may fire before time.AfterFunc returns its pointer.
	lastID  uint64
	timers  map[uint64]*time.Timer
	stopped bool
	// running counts the timer functions that are running.
	running sync.WaitGroup
}

// beginRun removes a timer that fired and reports whether its function may run.
// If so, the caller must call running.Done afterwards.
func (s *timerState) beginRun(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	delete(s.timers, id)
	s.running.Add(1)
	return true
}
