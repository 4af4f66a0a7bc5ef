package peers

// CodecError reports a value that cannot be compressed or decompressed.
type CodecError struct {
	// Key is the key of the value; empty if the encoder cannot be created.
	Key string
	Err error
}

func (e *CodecError) Error() string {
	return "zstd codec (key \"" + e.Key + "\"): " + e.Err.Error()
}

// Unwrap returns the error of the zstd library.
func (e *CodecError) Unwrap() error { return e.Err }
