package manifest

// MalformedError reports a published envelope or manifest that cannot be
// decoded or breaks a limit.
type MalformedError struct {
	// Part describes the malformed part.
	Part string
	// Err is the decoding error, or nil.
	Err error
}

// Error returns the malformed part and the decoding error, if any.
func (e *MalformedError) Error() string {
	if e.Err == nil {
		return "malformed " + e.Part
	}
	return "malformed " + e.Part + ": " + e.Err.Error()
}

// Unwrap returns the decoding error, or nil.
func (e *MalformedError) Unwrap() error { return e.Err }
