package instance

import "time"

// Instance is one start of an upstream. It is immutable.
type Instance struct {
	// ID names this start; a restart mostly has another one.
	ID      string
	Service string
	// Addr is the upstream's own address, host:port. Only processes on its VM
	// reach it; the host is the address of the VM's node too.
	Addr   string
	Zone   string
	Region string
	// Slots is how many calls the upstream runs at once.
	Slots int
	State State
	// StartedAtMs is the start in Unix milliseconds; zero if unknown. A restart under
	// the same ID has a later one.
	StartedAtMs int64
	// ColdUntil is when the upstream runs at full speed, by this node's clock.
	ColdUntil time.Time
	// StateSince is when this node learnt the state, by this node's clock.
	StateSince time.Time
	// GoneAt is when a lapsed instance counts as gone, by this node's clock.
	GoneAt time.Time
	// Revision is the platform's revision of the entry.
	Revision uint64
}

// StateAt returns the state at a time.
func (i *Instance) StateAt(now time.Time) State {
	if i.State == Lapsed && !now.Before(i.GoneAt) {
		return Gone
	}
	return i.State
}

// Serves reports whether the instance may get new work at a time.
func (i *Instance) Serves(now time.Time) bool {
	s := i.StateAt(now)
	return s == Ready || s == Lapsed
}

// gone returns a copy that gets no work any more.
func (i *Instance) gone() *Instance {
	next := *i
	next.State = Gone
	return &next
}
