package convergence

// UncountedError reports a figure that the run could not count.
type UncountedError struct {
	Field string
	Err   error
}

func (e *UncountedError) Error() string {
	if e.Err == nil {
		return "could not count " + e.Field
	}
	return "could not count " + e.Field + ": " + e.Err.Error()
}

// Unwrap returns the cause, if any.
func (e *UncountedError) Unwrap() error { return e.Err }
