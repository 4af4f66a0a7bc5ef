package routing

// LeftOut counts upstreams that could not be chosen, by cause.
type LeftOut struct {
	// Leaving upstreams announced that they leave, through any source.
	Leaving int
	// Suspect members may be dead according to their watchers.
	Suspect int
	// Failed upstreams failed the node's own calls.
	Failed int
	// Silent upstreams accepted the node's own calls and did not answer.
	Silent int
	// Excluded upstreams were already tried for this call.
	Excluded int
	// Joining members have no running process yet.
	Joining int
}

func (l *LeftOut) add(s state) {
	switch s {
	case stateLeaving:
		l.Leaving++
	case stateSuspect:
		l.Suspect++
	case stateFailed:
		l.Failed++
	case stateSilent:
		l.Silent++
	case stateExcluded:
		l.Excluded++
	case stateJoining:
		l.Joining++
	}
}
