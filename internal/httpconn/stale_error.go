package httpconn

// StaleError reports a connection that was given up because it returned
// responses to earlier requests.
type StaleError struct {
	// ID is the request id in the last response; empty if too many such
	// responses were skipped.
	ID string
}

// Error names the id of the earlier request.
func (e *StaleError) Error() string {
	return "the response echoes the id " + e.ID + " of another request"
}
