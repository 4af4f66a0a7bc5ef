// Package listener holds what the servers of all programs share: the error that they
// return when they cannot listen on their address, the context of connections, and the
// connections that a planned stop waits for.
package listener

// Error reports that a server cannot listen on Addr.
type Error struct {
	Addr string
	Err  error
}

func (e *Error) Error() string { return "listening on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the error of net.Listen, for errors.As.
func (e *Error) Unwrap() error { return e.Err }
