package peers

// FetchError reports a node that did not answer.
type FetchError struct {
	Addr string
	Err  error
}

func (e *FetchError) Error() string { return "asking " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Err }
