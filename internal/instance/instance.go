package instance

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// Instance is one run of an upstream, from its start to its exit. It is
// immutable.
type Instance struct {
	// ID identifies this run; a restart usually gets a new one.
	ID      string
	Service string
	// Addr is the upstream's own address as host:port. It is reachable only from
	// its VM; the VM's node has the same host.
	Addr   string
	Zone   string
	Region string
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	State State
	// StartedAtMs is the start time in Unix milliseconds; zero if unknown. A
	// restart under the same ID has a later one.
	StartedAtMs int64
	// ColdUntil is when the upstream is expected to reach full speed, by this
	// node's clock; zero if it is not cold.
	ColdUntil time.Time
	// StateSince is when this node received the entry or its removal, by this
	// node's clock. It does not change when another instance takes the address.
	StateSince time.Time
	// GoneAt is when a lapsed instance becomes gone, by this node's clock.
	GoneAt time.Time
	// Evacuated is set while the operator evacuates the instance's zone. The directory
	// sets it.
	Evacuated bool
	// Revision is the platform's revision of the entry.
	Revision revision.Revision
}

// StateAt returns the state at now; a lapsed instance is gone from GoneAt on.
func (i *Instance) StateAt(now time.Time) State {
	if i.State == Lapsed && !now.Before(i.GoneAt) {
		return Gone
	}
	return i.State
}

// Serves reports whether the instance may get new calls at now.
func (i *Instance) Serves(now time.Time) bool {
	s := i.StateAt(now)
	return !i.Evacuated && (s == Ready || s == Lapsed)
}

// asDraining returns a copy in state Draining.
func (i *Instance) asDraining() *Instance {
	c := *i
	c.State = Draining
	return &c
}

// withEvacuated returns the instance with the given value of Evacuated.
func (i *Instance) withEvacuated(evacuated bool) *Instance {
	if i.Evacuated == evacuated {
		return i
	}
	c := *i
	c.Evacuated = evacuated
	return &c
}

// asGone returns a copy in state Gone, with StateSince unchanged.
func (i *Instance) asGone() *Instance {
	c := *i
	c.State = Gone
	return &c
}

// claimedAfter reports whether i's claim on the address that it shares with o is the later
// one. The revisions decide. If they are of two eras of the platform, one of the entries
// may be from a copy, and the later start decides if both are known.
func (i *Instance) claimedAfter(o *Instance) bool {
	if i.Revision.Era != o.Revision.Era && i.StartedAtMs != o.StartedAtMs && min(i.StartedAtMs, o.StartedAtMs) > 0 {
		return i.StartedAtMs > o.StartedAtMs
	}
	return o.Revision.Less(i.Revision)
}

// withoutSecondColdStart returns the instance with the ColdUntil of old if both are the
// same start and the entry is of a later era of the platform: it may be from a copy and
// name the time that was left when it was written.
func (i *Instance) withoutSecondColdStart(old *Instance) *Instance {
	if i.StartedAtMs != old.StartedAtMs || i.Revision.Era <= old.Revision.Era || !old.ColdUntil.Before(i.ColdUntil) {
		return i
	}
	c := *i
	c.ColdUntil = old.ColdUntil
	return &c
}
