package httpconn

// BrokenError reports a connection that failed before a complete response. The
// server may have processed the request.
type BrokenError struct {
	Addr string
	// Reused is set if the connection came from the pool. The server may have
	// closed it while it was idle.
	Reused bool
	// BodyHeld is set if the server had not asked for a body that was held back. It
	// cannot have processed the request as a whole.
	BodyHeld bool
	Err      error
}

// Error names the address and the cause.
func (e *BrokenError) Error() string { return "connection to " + e.Addr + " broke: " + e.Err.Error() }

// Unwrap returns the underlying error, or the cause of the request's context if
// that has ended.
func (e *BrokenError) Unwrap() error { return e.Err }
