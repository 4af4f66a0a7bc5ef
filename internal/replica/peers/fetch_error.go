package peers

// FetchError reports a fetch from a node that failed.
type FetchError struct {
	Addr string
	Err  error
}

func (e *FetchError) Error() string { return "fetching from " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the error of the connection or of the JSON-RPC call.
func (e *FetchError) Unwrap() error { return e.Err }
