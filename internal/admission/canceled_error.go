package admission

import "fmt"

// CanceledError reports a call whose context ended while it waited. The call
// did not run.
type CanceledError struct {
	Rank string
	// Err is the cause from the context.
	Err error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("a waiting call of rank %q was canceled: %v", e.Rank, e.Err)
}

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }
