package mesh

// Reason says why a call was refused or has no usable response. It appears in
// logs, metrics and headers between nodes.
type Reason string

const (
	// ReasonNone: the call was answered by an upstream.
	ReasonNone Reason = ""
	// ReasonNoVersion: the node has no configuration version yet.
	ReasonNoVersion Reason = "no-version"
	// ReasonNoRoute: no route matches the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoUpstream: the service has no usable instance.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonTargetGone: the target is no longer the instance beside the node.
	ReasonTargetGone Reason = "target-gone"
	// ReasonRegionForbidden: the call's route does not allow the regions of the usable
	// instances.
	ReasonRegionForbidden Reason = "region-forbidden"
	// ReasonEvacuated: the operator evacuates the zone of the target, or of all usable
	// instances.
	ReasonEvacuated Reason = "evacuated"
	// ReasonOverloaded: the queue of the upstream is full.
	ReasonOverloaded Reason = "overloaded"
	// ReasonTooLate: because of the queue, the call was not expected to finish in
	// time.
	ReasonTooLate Reason = "late"
	// ReasonLeaving: the node or the upstream is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonUnreachable: no connection to the upstream or its node could be
	// opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonShed: the upstream reported that it did not run the call.
	ReasonShed Reason = "shed-by-upstream"
	// ReasonOtherInstance: another instance than the target listens at the
	// upstream's address.
	ReasonOtherInstance Reason = "other-instance"
	// ReasonDeadline: the deadline of the call passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCallerLeft: the caller disconnected.
	ReasonCallerLeft Reason = "caller-left"
	// ReasonConnectionBroken: the connection failed before a complete response.
	ReasonConnectionBroken Reason = "connection-broke"
	// ReasonInvalidResponse: the response is not from the upstream, not to this call, or
	// has an invalid head.
	ReasonInvalidResponse Reason = "invalid-answer"
	// ReasonBodyTooLarge: the request body exceeds the configured limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonBodyUnreadable: the request body could not be read.
	ReasonBodyUnreadable Reason = "body-unreadable"
	// ReasonNoMemory: there is no memory for the request body.
	ReasonNoMemory Reason = "no-memory"
	// ReasonRetryBudget: the retry budget is exhausted. Currently unused.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonLinkBusy: the VM's link is too busy to send the response in time.
	ReasonLinkBusy Reason = "link-busy"
	// ReasonQuarantined: the call crashes upstreams.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspectRunning: the call ran when an upstream crashed, and another such
	// call is running on this one.
	ReasonSuspectRunning Reason = "suspect-running"
)
