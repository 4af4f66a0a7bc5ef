package peers

// CallError reports a call of a node that failed.
type CallError struct {
	Addr string
	// Method is the JSON-RPC method; empty if the node could not be reached.
	Method string
	Err    error
}

func (e *CallError) Error() string {
	if e.Method == "" {
		return "connecting to " + e.Addr + ": " + e.Err.Error()
	}
	return "calling " + e.Method + " at " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns the error of the connection or of the JSON-RPC call.
func (e *CallError) Unwrap() error { return e.Err }
