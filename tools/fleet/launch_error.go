package fleet

// LaunchError reports a process that could not be started or did not become
// ready, or another step of running a fleet that failed.
type LaunchError struct {
	// Process names the process or the step.
	Process string
	// Err is nil if the process was started but did not become ready.
	Err error
}

// Error names the process or the step and, if there is one, the cause.
func (e *LaunchError) Error() string {
	if e.Err == nil {
		return e.Process + " did not become ready"
	}
	return "fleet: " + e.Process + ": " + e.Err.Error()
}

// Unwrap returns the cause, if any.
func (e *LaunchError) Unwrap() error { return e.Err }
