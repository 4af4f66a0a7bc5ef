package quarantine

// SuspectRunningError reports a suspect that was not admitted because another one
// runs.
type SuspectRunningError struct {
	// Err is why the request did not wait longer; nil if it may not wait.
	Err error
}

func (e *SuspectRunningError) Error() string {
	return "another request suspected of crashing upstreams is running"
}

// Unwrap returns the error of the context.
func (e *SuspectRunningError) Unwrap() error { return e.Err }
