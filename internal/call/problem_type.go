package call

// ProblemType is the type URI of a problem. Callers and metrics depend on it.
type ProblemType string

// Status, title and retry delay of each type are in attributesByType.
const (
	ProblemBadRequest      ProblemType = "urn:filbertpier:problem:bad-request"
	ProblemNoRoute         ProblemType = "urn:filbertpier:problem:no-route"
	ProblemNotReady        ProblemType = "urn:filbertpier:problem:not-ready"
	ProblemConfigBehind    ProblemType = "urn:filbertpier:problem:config-behind"
	ProblemNoUpstream      ProblemType = "urn:filbertpier:problem:no-upstream"
	ProblemOverloaded      ProblemType = "urn:filbertpier:problem:overloaded"
	ProblemDeadline        ProblemType = "urn:filbertpier:problem:deadline-exceeded"
	ProblemUpstreamFailed  ProblemType = "urn:filbertpier:problem:upstream-failed"
	ProblemOutcomeUnknown  ProblemType = "urn:filbertpier:problem:outcome-unknown"
	ProblemKeyRequired     ProblemType = "urn:filbertpier:problem:idempotency-key-required"
	ProblemKeyReused       ProblemType = "urn:filbertpier:problem:idempotency-key-reused"
	ProblemKeyRefused      ProblemType = "urn:filbertpier:problem:idempotency-key-refused"
	ProblemQuarantined     ProblemType = "urn:filbertpier:problem:quarantined"
	ProblemUpstreamLeaving ProblemType = "urn:filbertpier:problem:upstream-leaving"
	ProblemDepthExceeded   ProblemType = "urn:filbertpier:problem:depth-exceeded"
	ProblemAnswerNotKept   ProblemType = "urn:filbertpier:problem:answer-not-kept"
	ProblemCanceled        ProblemType = "urn:filbertpier:problem:cancelled"
	ProblemTargetMismatch  ProblemType = "urn:filbertpier:problem:target-mismatch"
)
