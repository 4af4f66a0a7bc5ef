package httpconn

// StaleError reports a connection that only carries answers of earlier
// requests.
type StaleError struct {
	// ID is the id that the last answer repeats.
	ID string
}

func (e *StaleError) Error() string {
	return "the answer repeats the id " + e.ID + " of another request"
}
