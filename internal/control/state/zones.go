package state

import (
	"sync"
	"time"
)

// Zones records when any node last heard from each availability zone, as
// far as this node knows.
type Zones struct {
	// mu guards lastHeard.
	mu        sync.Mutex
	lastHeard map[string]time.Time
}

// Hear moves a zone's time forward.
func (z *Zones) Hear(zone string, at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.lastHeard == nil {
		z.lastHeard = map[string]time.Time{}
	}
	if at.After(z.lastHeard[zone]) {
		z.lastHeard[zone] = at
	}
}

// Silence returns how long nothing has been heard from a zone. The time of a
// zone that is new to the node starts now.
func (z *Zones) Silence(zone string, now time.Time) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	at, ok := z.lastHeard[zone]
	if !ok {
		if z.lastHeard == nil {
			z.lastHeard = map[string]time.Time{}
		}
		z.lastHeard[zone] = now
		return 0
	}
	return now.Sub(at)
}

// Ages returns the silence of each zone in milliseconds.
func (z *Zones) Ages(now time.Time) map[string]int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := make(map[string]int64, len(z.lastHeard))
	for zone, at := range z.lastHeard {
		out[zone] = now.Sub(at).Milliseconds()
	}
	return out
}

func (z *Zones) Reset() {
	z.mu.Lock()
	defer z.mu.Unlock()
	clear(z.lastHeard)
}
