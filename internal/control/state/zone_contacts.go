package state

import (
	"sync"
	"time"
)

// ZoneContacts records, for each availability zone, the latest contact known,
// made by this node or reported by a peer.
type ZoneContacts struct {
	// mu guards lastContact.
	mu          sync.Mutex
	lastContact map[string]time.Time
}

// Record advances the last contact with a zone; an earlier time is ignored.
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

// Silence returns the time since the last contact with a zone. The first call
// for a zone without a recorded contact records now as one and returns 0.
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

// Ages returns the time since the last contact with each zone in milliseconds.
func (z *ZoneContacts) Ages(now time.Time) map[string]int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := make(map[string]int64, len(z.lastContact))
	for zone, last := range z.lastContact {
		out[zone] = now.Sub(last).Milliseconds()
	}
	return out
}

// Reset drops all contacts. It is called after a pause of the node itself.
func (z *ZoneContacts) Reset() {
	z.mu.Lock()
	defer z.mu.Unlock()
	clear(z.lastContact)
}
