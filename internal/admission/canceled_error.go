package admission

import "fmt"

// CanceledError reports a call whose context ended while it waited, or whose caller
// had left when it was granted a slot. The call did not run.
type CanceledError struct {
	Rank string
	// Granted is set if the caller had left when the call was granted a slot.
	Granted bool
	// Err is the cancellation cause of the context, or nil if it has not ended.
	Err error
}

// Error includes the rank and the cause. It is shown to callers as the detail
// of the problem.
func (e *CanceledError) Error() string {
	if e.Granted {
		return fmt.Sprintf("the caller of a call of rank %q had left when it was granted a slot", e.Rank)
	}
	return fmt.Sprintf("a waiting call of rank %q was canceled: %v", e.Rank, e.Err)
}

// Unwrap returns the cancellation cause.
func (e *CanceledError) Unwrap() error { return e.Err }
