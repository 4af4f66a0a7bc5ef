package spread

// DeltaError reports a delta that cannot be encoded or decoded.
type DeltaError struct {
	// Op is "encode" or "decode".
	Op  string
	Err error
}

// Error names the failed operation and the codec's error.
func (e *DeltaError) Error() string { return e.Op + " delta: " + e.Err.Error() }

// Unwrap returns the codec's error.
func (e *DeltaError) Unwrap() error { return e.Err }
