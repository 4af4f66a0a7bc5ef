package httpconn

// DialError reports that no connection could be opened. Nothing was sent.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return "connecting to " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the operating system's error.
func (e *DialError) Unwrap() error { return e.Err }
