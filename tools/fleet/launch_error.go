package fleet

// LaunchError reports a process that could not be started or did not become
// ready.
type LaunchError struct {
	Process string
	Err     error
}

func (e *LaunchError) Error() string {
	if e.Err == nil {
		return e.Process + " did not become ready"
	}
	return "starting " + e.Process + ": " + e.Err.Error()
}

// Unwrap returns the cause, if any.
func (e *LaunchError) Unwrap() error { return e.Err }
