package peer

// CompressionError reports a compressed stream that cannot be set up.
type CompressionError struct {
	Err error
}

func (e *CompressionError) Error() string { return "compressed stream: " + e.Err.Error() }

// Unwrap returns the codec's error.
func (e *CompressionError) Unwrap() error { return e.Err }
