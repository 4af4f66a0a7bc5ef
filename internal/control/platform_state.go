package control

import (
	"sync"
	"time"
)

// platformState is what the node knows about reading the platform.
type platformState struct {
	// mu guards all fields.
	mu sync.Mutex
	// lastRead is when a read by any node last succeeded.
	lastRead         time.Time
	manifestRevision uint64
	vmListRevision   uint64
	// manifestWatchStarted and listPending are when reads without an answer started.
	manifestWatchStarted time.Time
	vmListReadStarted    time.Time
	// manifestNotBefore and listNotBefore delay the next reads.
	manifestNotBefore time.Time
	vmListNotBefore   time.Time
	fallbackArmed     bool
	// fallbackForced is set if a version that a peer announced is not to be
	// had from peers; the armed fallback then reads in any case.
	fallbackForced bool
	// crossRegionWatchUntil is how long the readers of another region than the
	// platform's watch it themselves.
	crossRegionWatchUntil time.Time
	// readerNotBefore keeps a starting node from reading while it knows only
	// part of the fleet; aloneNotBefore while it knows no other node.
	readerNotBefore   time.Time
	isolatedNotBefore time.Time
	// fallbackNotBefore gives the readers the time to read before a starting
	// node, which has heard of no read yet, does so outside its turn.
	fallbackNotBefore time.Time
}

// recordRead moves lastSeen forward.
func (p *platformState) recordRead(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.lastRead) {
		p.lastRead = at
	}
}

// age returns the age of the last successful read known; ok is false if there
// is none.
func (p *platformState) age(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastRead.IsZero() {
		return 0, false
	}
	return now.Sub(p.lastRead), true
}
