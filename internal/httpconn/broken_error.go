package httpconn

// BrokenError reports a connection that ended before a complete answer. The
// request may have been processed.
type BrokenError struct {
	Addr string
	// Reused is set if the connection had served an earlier request.
	Reused bool
	Err    error
}

func (e *BrokenError) Error() string { return "connection to " + e.Addr + " broke: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
