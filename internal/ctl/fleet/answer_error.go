package fleet

import "fmt"

// AnswerError reports that one node did not answer a request as expected.
type AnswerError struct {
	// Status is the HTTP status, or 0 if there was no answer.
	Status int
	Detail string
	Err    error
}

func (e *AnswerError) Error() string {
	switch {
	case e.Status == 0 && e.Err != nil:
		return "no answer: " + e.Err.Error()
	case e.Err != nil:
		return fmt.Sprintf("status %d, cannot be decoded: %v", e.Status, e.Err)
	default:
		return fmt.Sprintf("status %d %s", e.Status, e.Detail)
	}
}

// Unwrap returns the transport or decoding error, if any.
func (e *AnswerError) Unwrap() error { return e.Err }
