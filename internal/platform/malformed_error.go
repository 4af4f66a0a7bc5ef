package platform

// MalformedError reports a response that cannot be decoded.
type MalformedError struct {
	Key string
	Err error
}

func (e *MalformedError) Error() string {
	return "malformed response of the platform for " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the error of strconv for a bad revision or of the JSON decoder.
func (e *MalformedError) Unwrap() error { return e.Err }
