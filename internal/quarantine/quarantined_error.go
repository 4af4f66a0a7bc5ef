package quarantine

// QuarantinedError reports a request that must not run because it crashes upstreams.
type QuarantinedError struct{}

func (e *QuarantinedError) Error() string { return "the request is quarantined: it crashes upstreams" }
