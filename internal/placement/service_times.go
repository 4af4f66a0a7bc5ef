package placement

import (
	"sync"
	"time"
)

// serviceTimes holds the mean service time of each service by rank, over all its
// instances. It is safe for concurrent use.
type serviceTimes struct {
	// mu guards byService and the averages in it.
	mu        sync.RWMutex
	byService map[string]*[rankClasses]average
}

func (t *serviceTimes) observe(service string, order int, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = map[string]*[rankClasses]average{}
	}
	a := t.byService[service]
	if a == nil {
		a = &[rankClasses]average{}
		t.byService[service] = a
	}
	a[rankClass(order)].observe(d, serviceTimeWeight)
}

// get returns the mean service time in seconds, or defaultServiceTime if none was
// observed for the rank class.
func (t *serviceTimes) get(service string, order int) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if a := t.byService[service]; a != nil && a[rankClass(order)].initialized {
		return a[rankClass(order)].mean
	}
	return defaultServiceTime.Seconds()
}
