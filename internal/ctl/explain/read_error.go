package explain

// ReadError reports a log file that cannot be read.
type ReadError struct {
	Path string
	Err  error
}

// Error contains the path and the cause.
func (e *ReadError) Error() string { return "reading " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the operating system's error.
func (e *ReadError) Unwrap() error { return e.Err }
