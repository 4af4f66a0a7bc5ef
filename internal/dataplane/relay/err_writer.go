package relay

import "io"

// ErrWriter records the error of a failed write, so that after io.CopyBuffer it
// can be distinguished from an error in reading from the upstream. It has no
// ReadFrom method, so that a copy goes through the pooled buffer.
type ErrWriter struct {
	W io.Writer
	// Err is the error of the last failed write, or nil.
	Err error
}

// Write implements io.Writer.
func (w *ErrWriter) Write(p []byte) (int, error) {
	n, err := w.W.Write(p)
	if err != nil {
		w.Err = err
	}
	return n, err
}
