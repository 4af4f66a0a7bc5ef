package manifest

// MalformedError reports published bytes that cannot be decoded.
type MalformedError struct {
	// Part names what could not be decoded.
	Part string
	Err  error
}

func (e *MalformedError) Error() string {
	if e.Err == nil {
		return "malformed " + e.Part
	}
	return "malformed " + e.Part + ": " + e.Err.Error()
}

// Unwrap returns the decoding error, if any.
func (e *MalformedError) Unwrap() error { return e.Err }
