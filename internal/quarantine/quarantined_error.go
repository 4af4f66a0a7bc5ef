package quarantine

import "time"

// QuarantinedError reports a request that must not run because it crashes upstreams.
type QuarantinedError struct {
	// Remaining is how long the request stays quarantined.
	Remaining time.Duration
}

func (e *QuarantinedError) Error() string { return "the request is quarantined: it crashes upstreams" }
