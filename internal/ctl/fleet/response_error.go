package fleet

import "fmt"

// ResponseError reports that a node did not respond, responded with an error
// status or sent a body that cannot be decoded.
type ResponseError struct {
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Detail is the beginning of the body of a response with an error status.
	Detail string
	// Err is the transport or decoding error, or nil.
	Err error
}

// Error describes the failure without the node's URL.
func (e *ResponseError) Error() string {
	switch {
	case e.Status == 0 && e.Err != nil:
		return "no response: " + e.Err.Error()
	case e.Err != nil:
		return fmt.Sprintf("status %d, response cannot be decoded: %v", e.Status, e.Err)
	default:
		return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
	}
}

// Unwrap returns the transport or decoding error, if any.
func (e *ResponseError) Unwrap() error { return e.Err }
