package mesh

// Reason says why a call was refused or has no answer. It appears in logs,
// metrics and between nodes.
type Reason string

// The reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoVersion        Reason = "no-version"
	ReasonNoRoute          Reason = "no-route"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonTargetGone       Reason = "target-gone"
	ReasonOverloaded       Reason = "overloaded"
	ReasonTooLate          Reason = "late"
	ReasonLeaving          Reason = "leaving"
	ReasonUnreachable      Reason = "unreachable"
	ReasonShed             Reason = "shed-by-upstream"
	ReasonOtherInstance    Reason = "other-instance"
	ReasonDeadline         Reason = "deadline"
	ReasonCallerLeft       Reason = "caller-left"
	ReasonConnectionBroken Reason = "connection-broke"
	ReasonInvalidAnswer    Reason = "invalid-answer"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonBodyUnreadable   Reason = "body-unreadable"
	ReasonRetryBudget      Reason = "retry-budget"
	// ReasonLinkBusy: the VM's link is too busy to send the answer in time.
	ReasonLinkBusy Reason = "link-busy"
)
