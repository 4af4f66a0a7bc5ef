package placement

import (
	"sync"
	"time"
)

// typicalTimes holds the service times of each service by rank, over all
// instances. It is safe for concurrent use.
type typicalTimes struct {
	// mu guards byService and the averages in it.
	mu        sync.RWMutex
	byService map[string]*[rankClasses]average
}

func (t *typicalTimes) observe(service string, order int, d time.Duration) {
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
	a[rankClass(order)].observe(d, ranWeight)
}

// get returns the service time in seconds.
func (t *typicalTimes) get(service string, order int) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if a := t.byService[service]; a != nil && a[rankClass(order)].set {
		return a[rankClass(order)].mean
	}
	return unknownService.Seconds()
}
