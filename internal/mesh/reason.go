package mesh

// Reason says why a call was refused or has no answer. It appears in logs,
// metrics and between nodes.
type Reason string

// The reasons.
const (
	ReasonNone           Reason = ""
	ReasonNoVersion      Reason = "no-version"
	ReasonNoRoute        Reason = "no-route"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonTargetGone     Reason = "target-gone"
	ReasonOverloaded     Reason = "overloaded"
	ReasonLate           Reason = "late"
	ReasonLeaving        Reason = "leaving"
	ReasonUnreachable    Reason = "unreachable"
	ReasonShed           Reason = "shed-by-upstream"
	ReasonMisdirected    Reason = "other-instance"
	ReasonDeadline       Reason = "deadline"
	ReasonCallerLeft     Reason = "caller-left"
	ReasonConnection     Reason = "connection-broke"
	ReasonInvalidAnswer  Reason = "invalid-answer"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonBodyUnreadable Reason = "body-unreadable"
	ReasonBudget         Reason = "retry-budget"
	// ReasonLink: the VM's link is too busy to send the answer in time.
	ReasonLink Reason = "link-busy"
)
