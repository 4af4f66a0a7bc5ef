package mesh

// Headers between nodes, in addition to those of package call.
const (
	// headerResult holds the result of a call at the node beside its upstream.
	headerResult = "Filbertpier-Result"
	// headerReason holds why a call was not run or has no usable response.
	headerReason = "Filbertpier-Reason"
	// headerExpectedWait holds how many milliseconds a refusing node expects to
	// stay busy.
	headerExpectedWait = "Filbertpier-Wait"
	// headerDue holds the milliseconds that are left to meet the target latency.
	headerDue = "Filbertpier-Due"
	// headerResponseBytes holds the expected size of the response.
	headerResponseBytes = "Filbertpier-Bytes"
	// headerOtherRegion is set on calls from other regions.
	headerOtherRegion = "Filbertpier-Far"
	// headerTimes holds two numbers of microseconds: how long the call ran at
	// the upstream, and its total time at the node.
	headerTimes = "Filbertpier-Times"
	// headerRevision holds the latest platform revision known to the sender.
	headerRevision = "Filbertpier-At"
	// headerDetail holds the error text behind a reason.
	headerDetail = "Filbertpier-Detail"
	// headerIdempotent is set on calls that may run more than once.
	headerIdempotent = "Filbertpier-Idempotent"
	// headerReachedUpstream is set if a call that was not run had reached the
	// upstream.
	headerReachedUpstream = "Filbertpier-Reached"
)
