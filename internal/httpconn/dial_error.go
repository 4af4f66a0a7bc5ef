package httpconn

// DialError reports that no connection could be opened. No part of the request
// was sent.
type DialError struct {
	Addr string
	Err  error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return "connecting to " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the error of the dialer.
func (e *DialError) Unwrap() error { return e.Err }
