package mesh

// Headers between nodes, in addition to those of package call.
const (
	// headerResult holds the ResultKind of a call at the node beside the upstream.
	headerResult = "Filbertpier-Result"
	// headerReason holds why a call was not run or has no usable response.
	headerReason = "Filbertpier-Reason"
	// headerExpectedWait holds the refusing node's estimate of how many
	// milliseconds it remains too busy for the call.
	headerExpectedWait = "Filbertpier-Wait"
	// headerDue holds how many milliseconds the receiving node has for its
	// response if the call is to meet its target latency: the time left at the
	// sender, less the round trip between the nodes and the time to send the
	// response to the caller.
	headerDue = "Filbertpier-Due"
	// headerResponseBytes holds the sender's request.responseBytes.
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
