package runtime

import (
	"sync"
	"testing"
)

// Guards against a timer that fires before start has recorded it and therefore
// is never removed from the set.
func TestTimersWithoutDelayAreRemovedFromTheSet(t *testing.T) {
	set := newTimerSet()
	var fired sync.WaitGroup
	for range 1000 {
		fired.Add(1)
		set.start(0, fired.Done)
	}
	fired.Wait()
	set.state.mu.Lock()
	remaining := len(set.state.timers)
	set.state.mu.Unlock()
	if remaining != 0 {
		t.Errorf("%d fired timers are still in the set, want none", remaining)
	}
	set.stop()
}
