package routing

// state is what the node's own view allows for an upstream.
type state uint8

const (
	stateServing state = iota
	stateBusy
	stateProbe
	stateFailed
	stateSilent
	stateSuspect
	stateLeaving
	stateExcluded
	stateJoining
)
