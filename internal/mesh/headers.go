package mesh

// Headers between nodes, besides those of the package call.
const (
	// headerResult holds the result of a call at the node beside its upstream.
	headerResult = "Filbertpier-Result"
	// headerReason says why a call was not run or broke off.
	headerReason = "Filbertpier-Reason"
	// headerExpectedWait holds how long a refusing node expects to be busy, in
	// milliseconds.
	headerExpectedWait = "Filbertpier-Wait"
	// headerDue holds the milliseconds until the answer loses part of its worth.
	headerDue = "Filbertpier-Due"
	// headerResponseBytes holds the expected size of the answer.
	headerResponseBytes = "Filbertpier-Bytes"
	// headerOtherRegion is set on calls from other regions.
	headerOtherRegion = "Filbertpier-Far"
	// headerTimes holds the microseconds that a call ran and those that it
	// spent at the node in all.
	headerTimes = "Filbertpier-Times"
	// headerRevision holds the platform's revision that the sender knows.
	headerRevision = "Filbertpier-At"
	// headerDetail holds the text of the error behind a reason.
	headerDetail = "Filbertpier-Detail"
	// headerIdempotent is set on calls that may run more than once.
	headerIdempotent = "Filbertpier-Idempotent"
	// headerReachedUpstream is set if a refused call reached the upstream.
	headerReachedUpstream = "Filbertpier-Reached"
)
