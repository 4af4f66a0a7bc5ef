// Package listener holds the error that all servers return when they cannot
// listen on their address.
package listener

// Error reports that a server cannot listen on Addr.
type Error struct {
	Addr string
	Err  error
}

func (e *Error) Error() string { return "listening on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the error of net.Listen, for errors.As.
func (e *Error) Unwrap() error { return e.Err }
