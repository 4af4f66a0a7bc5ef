package admission

import "fmt"

// OverloadedError reports a call that was refused because the queue is full, or
// evicted from the full queue. The call did not run.
type OverloadedError struct {
	Rank string
	// Waiting is the number of waiting calls of all ranks.
	Waiting int
}

// Error includes the rank and the length of the queue. It is shown to callers
// as the detail of the problem.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("the queue is full for a call of rank %q: %d calls waiting", e.Rank, e.Waiting)
}
