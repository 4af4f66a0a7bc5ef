package manifest

import "fmt"

// DigestError reports text that is not a SHA-256 digest.
type DigestError struct {
	Text string
	Err  error
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("not a sha256 digest in hexadecimal: %.80q", e.Text)
}

// Unwrap returns the decoding error, if any.
func (e *DigestError) Unwrap() error { return e.Err }
