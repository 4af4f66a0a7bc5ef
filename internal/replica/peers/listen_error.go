package peers

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Addr string
	Err  error
}

func (e *ListenError) Error() string { return "listening on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the operating system's error.
func (e *ListenError) Unwrap() error { return e.Err }
