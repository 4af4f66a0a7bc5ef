package httpconn

// StaleError reports a connection that was closed because it returned responses
// to earlier requests. Pool.Do returns it wrapped in a *BrokenError.
type StaleError struct {
	// ID is the request id in the last response; empty if more than
	// maxStaleResponses were received.
	ID string
}

// Error contains the ID.
func (e *StaleError) Error() string {
	return "received responses to earlier requests (last request id \"" + e.ID + "\")"
}
