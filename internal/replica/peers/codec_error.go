package peers

// CodecError reports a value that cannot be compressed or decompressed.
type CodecError struct {
	Key string
	Err error
}

func (e *CodecError) Error() string {
	return "compressing or decompressing the value of " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the error of the zstd library.
func (e *CodecError) Unwrap() error { return e.Err }
