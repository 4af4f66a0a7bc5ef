package admission

import (
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// Ticket is a call's request for a slot of a Gate. It cannot be reused.
type Ticket struct {
	Rank *config.Rank
	// Deadline is when the caller no longer needs a response; zero means never.
	Deadline time.Time
	// SoftDeadline is when the response starts to lose value for the caller. If
	// it is zero, the rank's target applies.
	SoftDeadline time.Time
	// outcome receives the result of a ticket that waits in a Limiter.
	outcome chan error

	entry    *rankEntry
	arrived  time.Time
	started  time.Time
	sequence uint64
	released atomic.Bool
}

// before orders the tickets of one rank by deadline, then by arrival. Tickets
// without a deadline come last.
func (t *Ticket) before(o *Ticket) bool {
	switch {
	case t.Deadline.Equal(o.Deadline):
		return t.sequence < o.sequence
	case t.Deadline.IsZero():
		return false
	case o.Deadline.IsZero():
		return true
	}
	return t.Deadline.Before(o.Deadline)
}

// effectiveDeadline returns the soft deadline if there is one, else the deadline
// or, if it is earlier, the arrival time plus targetShare of the rank's target;
// zero means none. If only deadlines counted, every call in a flood would be
// served shortly after its target had passed.
func (t *Ticket) effectiveDeadline() time.Time {
	if !t.SoftDeadline.IsZero() {
		return t.SoftDeadline
	}
	if t.Rank.TargetMs <= 0 {
		return t.Deadline
	}
	target := t.arrived.Add(time.Duration(targetShare * float64(t.Rank.TargetMs) * float64(time.Millisecond)))
	if t.Deadline.IsZero() || target.Before(t.Deadline) {
		return target
	}
	return t.Deadline
}

// targetShare is the share of the target available for waiting and service. The
// remainder covers network latency and the variation of service times.
const targetShare = 0.75
