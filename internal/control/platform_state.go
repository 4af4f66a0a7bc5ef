package control

import (
	"sync"
	"time"
)

// platformState holds what the node knows about platform reads, its own and
// those of other nodes.
type platformState struct {
	// mu guards all fields.
	mu sync.Mutex
	// lastRead is when a read by any node last succeeded.
	lastRead         time.Time
	manifestRevision uint64
	vmListRevision   uint64
	// manifestWatchStarted is when the open watch of the manifest started; it
	// is zero if none is open.
	manifestWatchStarted time.Time
	// vmListReadStarted is when the last read of the VM list started.
	vmListReadStarted time.Time
	// manifestNotBefore and vmListNotBefore are the earliest times of the next
	// reads.
	manifestNotBefore time.Time
	vmListNotBefore   time.Time
	fallbackArmed     bool
	// fallbackForced is set if peers do not deliver a version that one of them
	// announced; the armed fallback then reads in any case.
	fallbackForced bool
	// crossRegionWatchUntil is the end of the time in which readers outside the
	// platform's region watch the platform themselves.
	crossRegionWatchUntil time.Time
	// readerNotBefore is the earliest time at which a starting node reads as a
	// reader; before it, the node knows only part of the fleet. isolatedNotBefore
	// is the earliest time at which a node that knows no other node reads at all.
	readerNotBefore   time.Time
	isolatedNotBefore time.Time
	// fallbackNotBefore keeps a starting node, which does not know of any read
	// yet, from a fallback read while the readers have not had time to read.
	fallbackNotBefore time.Time
}

// recordRead advances lastRead to the time of a successful read.
func (p *platformState) recordRead(readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if readAt.After(p.lastRead) {
		p.lastRead = readAt
	}
}

// lastReadAge returns the time since the last successful read. The second
// result is false if none is known.
func (p *platformState) lastReadAge(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastRead.IsZero() {
		return 0, false
	}
	return now.Sub(p.lastRead), true
}
