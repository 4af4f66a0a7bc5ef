package platform

// MalformedError reports an answer that cannot be decoded.
type MalformedError struct {
	Key string
	Err error
}

func (e *MalformedError) Error() string {
	return "malformed " + e.Key + " from the platform: " + e.Err.Error()
}

// Unwrap returns the decoding error.
func (e *MalformedError) Unwrap() error { return e.Err }
