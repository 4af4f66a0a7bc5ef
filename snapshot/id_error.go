package snapshot

import "fmt"

// IDError reports text that is not a version ID.
type IDError struct {
	Text string
	Err  error
}

func (e *IDError) Error() string { return fmt.Sprintf("not a version ID: %.100q", e.Text) }

// Unwrap returns the parsing error, if any.
func (e *IDError) Unwrap() error { return e.Err }
