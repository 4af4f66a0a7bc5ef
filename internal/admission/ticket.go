package admission

import (
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// Ticket is one call's place at a Gate. It is used for one call only.
type Ticket struct {
	Rank *config.Rank
	// Deadline is when the caller no longer needs an answer; zero means never.
	Deadline time.Time
	// SoftDeadline is when the call should have ended to be of full worth, for senders
	// that know; zero derives it from the arrival and the rank's target.
	SoftDeadline time.Time
	// ready receives the outcome of a ticket that waits in a Limiter.
	ready chan error

	entry    *rankEntry
	arrived  time.Time
	started  time.Time
	sequence uint64
	released atomic.Bool
}

// before orders tickets of one rank: earliest deadline, then arrival.
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

// due is the end of the time in which the call is useful: its deadline, or
// the target of its rank if that is earlier. During a flood a queue that only
// respects deadlines serves every call just after its target.
func (t *Ticket) due() time.Time {
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

// targetShare is the part of the target that queue and service may take. The
// rest covers the way to and from the caller and the spread of service times.
const targetShare = 0.75
