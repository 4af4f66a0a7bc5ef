package manifest

import "fmt"

// DigestError reports text that is not a SHA-256 digest.
type DigestError struct {
	// Text is the rejected text.
	Text string
	// Err is the decoding error, or nil.
	Err error
}

// Error quotes the beginning of the rejected text.
func (e *DigestError) Error() string {
	return fmt.Sprintf("not a sha256 digest in hexadecimal: %.80q", e.Text)
}

// Unwrap returns the decoding error, or nil.
func (e *DigestError) Unwrap() error { return e.Err }
