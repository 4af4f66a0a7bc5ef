package peers

// FetchError reports a call of a node that failed.
type FetchError struct {
	Addr string
	// Method is the JSON-RPC method; empty if the node could not be reached.
	Method string
	Err    error
}

func (e *FetchError) Error() string {
	return "calling " + e.Method + " at " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns the error of the connection or of the JSON-RPC call.
func (e *FetchError) Unwrap() error { return e.Err }
