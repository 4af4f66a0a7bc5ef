package routing

// Outcome is how a call that was sent to an upstream ended, as its sender saw
// it.
type Outcome uint8

// The outcomes.
const (
	// OutcomeCompleted: a complete answer came back, whatever its status.
	OutcomeCompleted Outcome = iota
	// OutcomeRefused: the upstream's node did not run the call (overloaded).
	OutcomeRefused
	// OutcomeLeaving: the upstream's node did not run the call because the
	// upstream leaves.
	OutcomeLeaving
	// OutcomeFailed: the connection could not be opened or broke.
	OutcomeFailed
	// OutcomeNoResponse: the call ended without any sign from the upstream.
	OutcomeNoResponse
	// OutcomeCanceled: the caller left; this says nothing about the upstream.
	OutcomeCanceled
)
