package state

import (
	"sync"
	"time"
)

// ZoneContacts records when any node last heard from each availability zone, as
// far as this node knows.
type ZoneContacts struct {
	// mu guards lastHeard.
	mu          sync.Mutex
	lastContact map[string]time.Time
}

// Record moves a zone's time forward.
func (z *ZoneContacts) Record(zone string, contact time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.lastContact == nil {
		z.lastContact = map[string]time.Time{}
	}
	if contact.After(z.lastContact[zone]) {
		z.lastContact[zone] = contact
	}
}

// Silence returns how long nothing has been heard from a zone. The time of a
// zone that is new to the node starts now.
func (z *ZoneContacts) Silence(zone string, now time.Time) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	last, ok := z.lastContact[zone]
	if !ok {
		if z.lastContact == nil {
			z.lastContact = map[string]time.Time{}
		}
		z.lastContact[zone] = now
		return 0
	}
	return now.Sub(last)
}

// Ages returns the silence of each zone in milliseconds.
func (z *ZoneContacts) Ages(now time.Time) map[string]int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := make(map[string]int64, len(z.lastContact))
	for zone, last := range z.lastContact {
		out[zone] = now.Sub(last).Milliseconds()
	}
	return out
}

func (z *ZoneContacts) Reset() {
	z.mu.Lock()
	defer z.mu.Unlock()
	clear(z.lastContact)
}
