package quarantine

// InFlightRequest is a request that runs on the upstream. Its fields are guarded
// by the lock of its InFlightRequests.
type InFlightRequest struct {
	fingerprint Fingerprint
	// suspect is set if the request was a suspect before it ran.
	suspect bool
	// crash is the crash during the request, or nil.
	crash *Crash
}
