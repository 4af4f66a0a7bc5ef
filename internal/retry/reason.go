package retry

// Reason tells why a call is or is not retried. Its values appear in logs.
type Reason string

// ReasonNotRun and ReasonIdempotent permit a retry; the others deny it.
const (
	ReasonNotRun        Reason = "not-run"
	ReasonIdempotent    Reason = "idempotent"
	ReasonNoPolicy      Reason = "no-policy"
	ReasonMaxAttempts   Reason = "max-attempts"
	ReasonMayHaveRun    Reason = "may-have-run"
	ReasonNotReplayable Reason = "not-replayable"
	ReasonNested        Reason = "nested"
	ReasonWithinRetry   Reason = "within-retry"
	ReasonDeadline      Reason = "deadline"
	ReasonBudget        Reason = "budget"
)
