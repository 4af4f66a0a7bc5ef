package replica

import "strconv"

// OversizedPageError reports a response of the platform that is longer than a node
// keeps.
type OversizedPageError struct {
	// Limit is the longest response that is kept, in bytes.
	Limit int64
	Err   error
}

func (e *OversizedPageError) Error() string {
	return "the response is longer than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// Unwrap returns the error of the client.
func (e *OversizedPageError) Unwrap() error { return e.Err }
