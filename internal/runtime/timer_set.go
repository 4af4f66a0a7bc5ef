package runtime

import "time"

// timerSet holds the pending timers, so that they can be stopped together.
type timerSet struct {
	state *timerState
}

func newTimerSet() timerSet { return timerSet{state: &timerState{timers: map[uint64]*time.Timer{}}} }

// start calls f in a goroutine of its own after d, unless the set is stopped.
func (t timerSet) start(d time.Duration, f func()) {
	s := t.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.lastID++
	id := s.lastID
	s.timers[id] = time.AfterFunc(d, func() {
		if s.beginRun(id) {
			defer s.running.Done()
			f()
		}
	})
}

// stop cancels the pending timers and waits for the functions that are running.
func (t timerSet) stop() {
	s := t.state
	s.mu.Lock()
	s.stopped = true
	for _, timer := range s.timers {
		timer.Stop()
	}
	clear(s.timers)
	s.mu.Unlock()
	s.running.Wait()
}
