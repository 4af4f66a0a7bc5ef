package httpconn

// BrokenError reports a connection that failed before a complete response. The
// server may have processed the request.
type BrokenError struct {
	Addr string
	// Reused is set if the connection came from the pool, where the server may
	// have closed it unnoticed.
	Reused bool
	Err    error
}

// Error names the address and the cause.
func (e *BrokenError) Error() string { return "connection to " + e.Addr + " broke: " + e.Err.Error() }

// Unwrap returns the cause, which is the context's if that ended first.
func (e *BrokenError) Unwrap() error { return e.Err }
