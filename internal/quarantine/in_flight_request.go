package quarantine

// InFlightRequest is a request that runs on the upstream. The lock of its
// InFlightRequests guards crash; the other fields are immutable.
type InFlightRequest struct {
	fingerprint Fingerprint
	// suspect is set if the request was a suspect before it ran.
	suspect bool
	// crash is the crash during the request, or nil.
	crash *Crash
}
