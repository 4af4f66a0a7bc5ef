package revision

import "fmt"

// ParseError reports text that is not a revision.
type ParseError struct {
	// Text is the rejected text.
	Text string
	// Err is the error of the number that could not be parsed.
	Err error
}

// Error quotes the beginning of the rejected text.
func (e *ParseError) Error() string { return fmt.Sprintf("not a revision: %.40q", e.Text) }

// Unwrap returns the error of the number.
func (e *ParseError) Unwrap() error { return e.Err }
