package placement

// OutcomeKind classifies the end of an attempt.
type OutcomeKind uint8

// The kinds.
const (
	// Completed: the instance gave a complete answer.
	Completed OutcomeKind = iota
	// ErrorResponse: the instance answered with a failure of its own.
	ErrorResponse
	// Refused: the instance's node has no room for the call.
	Refused
	// LinkBusy: the link of the instance's VM is too busy for the answer; calls
	// with small answers are not concerned.
	LinkBusy
	// Shed: the instance itself refused the call.
	Shed
	// Unreachable: the instance or its node could not be reached, or leaves.
	Unreachable
	// ConnectionBroken: the connection ended without a complete answer.
	ConnectionBroken
	// NodeDown: the instance's node cannot be reached. It gets no calls until
	// Recovered tells that it can.
	NodeDown
	// Canceled: the caller left. It says nothing about the instance.
	Canceled
)
