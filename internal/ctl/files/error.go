package files

// Error reports a file that cannot be read, written or parsed.
type Error struct {
	// Op is the failed operation: read, write or parse. It may include a reason
	// after a colon if Err is nil.
	Op   string
	Path string
	Err  error
}

// Error contains the operation, the path and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + " " + e.Path
	}
	return e.Op + " " + e.Path + ": " + e.Err.Error()
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }
