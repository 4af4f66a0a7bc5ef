package quarantine

// InFlightRequest is one request that runs on the upstream. Its fields are guarded by the
// lock of its Runs.
type InFlightRequest struct {
	fingerprint Fingerprint
	suspect     bool
	crash       *Crash
}
