package dataplane

import "io"

// answerWriter tells a failure to write to the caller from one to read from the
// upstream. It hides ReadFrom, so that a copy goes through the pooled buffer.
type answerWriter struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (a *answerWriter) Write(p []byte) (int, error) {
	n, err := a.w.Write(p)
	if err != nil {
		a.err = err
	}
	return n, err
}
