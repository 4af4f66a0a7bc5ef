// Package listener holds the error of listeners that all servers share.
package listener

// Error reports an address that cannot be listened on.
type Error struct {
	Addr string
	Err  error
}

func (e *Error) Error() string { return "listening on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the operating system's error.
func (e *Error) Unwrap() error { return e.Err }
