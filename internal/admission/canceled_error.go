package admission

import "fmt"

// CanceledError reports a call whose context ended while it waited. The call
// did not run.
type CanceledError struct {
	Rank string
	// Err is the cancellation cause of the context.
	Err error
}

// Error includes the rank and the cause. It is shown to callers as the detail
// of the problem.
func (e *CanceledError) Error() string {
	return fmt.Sprintf("a waiting call of rank %q was canceled: %v", e.Rank, e.Err)
}

// Unwrap returns the cancellation cause.
func (e *CanceledError) Unwrap() error { return e.Err }
