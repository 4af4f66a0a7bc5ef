package snapshot

import "fmt"

// IDError reports text that is not a version ID.
type IDError struct {
	// Text is the rejected text.
	Text string
	// Err is the parsing error, or nil.
	Err error
}

// Error quotes the beginning of the rejected text.
func (e *IDError) Error() string { return fmt.Sprintf("not a version ID: %.100q", e.Text) }

// Unwrap returns the parsing error, or nil.
func (e *IDError) Unwrap() error { return e.Err }
