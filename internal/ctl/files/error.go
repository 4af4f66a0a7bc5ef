package files

// Error reports a file that cannot be read, written or understood.
type Error struct {
	// Op is what was attempted: read, write, parse.
	Op   string
	Path string
	Err  error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + " " + e.Path
	}
	return e.Op + " " + e.Path + ": " + e.Err.Error()
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.Err }
