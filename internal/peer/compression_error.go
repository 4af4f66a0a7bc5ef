package peer

// CompressionError reports a connection whose compressed stream cannot be set
// up, or that ended before its first bytes were read.
type CompressionError struct {
	Err error
}

func (e *CompressionError) Error() string { return "compressed stream: " + e.Err.Error() }

// Unwrap returns the error of the zstd library or of the connection.
func (e *CompressionError) Unwrap() error { return e.Err }
