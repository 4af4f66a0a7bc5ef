package peers

// CodecError reports a value that cannot be compressed or decompressed.
type CodecError struct {
	Key string
	Err error
}

func (e *CodecError) Error() string { return "coding the value of " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the library's error.
func (e *CodecError) Unwrap() error { return e.Err }
