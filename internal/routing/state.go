package routing

// state classifies an upstream for the selection.
type state uint8

const (
	stateServing state = iota
	// stateBusy: the upstream recently refused most calls of the rank.
	stateBusy
	// stateProbe: the ejection is over and the next call tests the upstream.
	stateProbe
	// stateFailed: ejected after failed calls.
	stateFailed
	// stateUnresponsive: ejected after a call without a response, or stalled.
	stateUnresponsive
	// stateSuspect: the failure detector suspects that the member is dead.
	stateSuspect
	stateLeaving
	// stateExcluded: the call has already tried the upstream.
	stateExcluded
	// stateJoining: the member has no running process yet.
	stateJoining
)
