package routing

// state classifies an upstream for the selection.
type state uint8

const (
	stateServing state = iota
	// stateBusy: the upstream refuses calls of the rank.
	stateBusy
	// stateProbe: the ejection is over and the next call tests the upstream.
	stateProbe
	// stateFailed and stateUnresponsive: ejected or stalled.
	stateFailed
	stateUnresponsive
	stateSuspect
	stateLeaving
	stateExcluded
	stateJoining
)
