package instance

import "time"

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
	// ColdUntil is when the upstream reaches full speed, by this node's clock.
	ColdUntil time.Time
	// StateSince is when this node received the state, by this node's clock.
	StateSince time.Time
	// GoneAt is when a lapsed instance becomes gone, by this node's clock.
	GoneAt time.Time
	// Revision is the platform's revision of the entry.
	Revision uint64
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
	return s == Ready || s == Lapsed
}

// asGone returns a copy in state Gone, which gets no calls.
func (i *Instance) asGone() *Instance {
	c := *i
	c.State = Gone
	return &c
}
