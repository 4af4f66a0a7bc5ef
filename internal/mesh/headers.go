package mesh

// Headers between nodes, besides those of the package call.
const (
	// headerResult holds the result of a call at the node beside its upstream.
	headerResult = "Filbertpier-Result"
	// headerReason says why a call was not run or broke off.
	headerReason = "Filbertpier-Reason"
	// headerWait holds how long a refusing node expects to be busy, in
	// milliseconds.
	headerWait = "Filbertpier-Wait"
	// headerDue holds the milliseconds until the answer loses part of its worth.
	headerDue = "Filbertpier-Due"
	// headerBytes holds the expected size of the answer.
	headerBytes = "Filbertpier-Bytes"
	// headerFar is set on calls from other regions.
	headerFar = "Filbertpier-Far"
	// headerTimes holds the microseconds that a call ran and those that it
	// spent at the node in all.
	headerTimes = "Filbertpier-Times"
	// headerAt holds the platform's revision that the sender knows.
	headerAt = "Filbertpier-At"
	// headerDetail holds the text of the error behind a reason.
	headerDetail = "Filbertpier-Detail"
	// headerIdempotent is set on calls that may run more than once.
	headerIdempotent = "Filbertpier-Idempotent"
	// headerReached is set if a refused call reached the upstream.
	headerReached = "Filbertpier-Reached"
)
