package routing

// Outcome is how a call to an upstream ended, as its sender observed it.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeCompleted: a complete response arrived, with any status.
	OutcomeCompleted Outcome = iota
	// OutcomeRefused: the upstream's node did not run the call, for example
	// because it is overloaded.
	OutcomeRefused
	// OutcomeLeaving: the upstream's node did not run the call because the
	// upstream is leaving.
	OutcomeLeaving
	// OutcomeFailed: the connection could not be opened or broke.
	OutcomeFailed
	// OutcomeNoResponse: no complete response arrived before the deadline.
	OutcomeNoResponse
	// OutcomeCanceled: the caller canceled; this says nothing about the upstream.
	OutcomeCanceled
)
