package routing

// SkipCounts counts the upstreams that were skipped, by cause.
type SkipCounts struct {
	// Leaving upstreams are shutting down, according to at least one source.
	Leaving int
	// Suspect members may be dead, according to the failure detector.
	Suspect int
	// Failed upstreams were ejected after failed calls of this node.
	Failed int
	// Silent upstreams accepted calls of this node and did not respond.
	Silent int
	// Excluded upstreams were already tried for this call.
	Excluded int
	// Joining members have no running process yet.
	Joining int
	// RegionForbidden upstreams are in regions that the call's route does not allow.
	RegionForbidden int
}

func (c *SkipCounts) add(s state) {
	switch s {
	case stateLeaving:
		c.Leaving++
	case stateSuspect:
		c.Suspect++
	case stateFailed:
		c.Failed++
	case stateUnresponsive:
		c.Silent++
	case stateExcluded:
		c.Excluded++
	case stateJoining:
		c.Joining++
	}
}
