package runtime

import "time"

// timerSet holds the running timers, so that they can be stopped together.
type timerSet struct {
	state *timerState
}

func newTimerSet() timerSet { return timerSet{state: &timerState{timers: map[*time.Timer]struct{}{}}} }

// start calls f in a goroutine of its own after d, unless the set is stopped.
func (t timerSet) start(d time.Duration, f func()) {
	s := t.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	// The callback gets the timer through a channel: with a short d it can run
	// before AfterFunc has returned.
	started := make(chan *time.Timer, 1)
	timer := time.AfterFunc(d, func() {
		if s.finish(<-started) {
			defer s.running.Done()
			f()
		}
	})
	s.timers[timer] = struct{}{}
	started <- timer
}

// stop ends all timers and waits for running functions.
func (t timerSet) stop() {
	s := t.state
	s.mu.Lock()
	s.stopped = true
	for timer := range s.timers {
		timer.Stop()
	}
	clear(s.timers)
	s.mu.Unlock()
	s.running.Wait()
}
