package relay

import "io"

// ErrWriter tells a failure to write to the caller from one to read from the
// upstream. It hides ReadFrom, so that a copy goes through the pooled buffer.
type ErrWriter struct {
	W io.Writer
	// Err is the first failure to write.
	Err error
}

// Write implements io.Writer.
func (a *ErrWriter) Write(p []byte) (int, error) {
	n, err := a.W.Write(p)
	if err != nil {
		a.Err = err
	}
	return n, err
}
