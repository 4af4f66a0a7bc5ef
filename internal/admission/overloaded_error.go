package admission

import "fmt"

// OverloadedError reports a call that was refused because the queue is full.
// The call did not run.
type OverloadedError struct {
	Rank   string
	Queued int
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("no place for rank %q behind %d waiting calls", e.Rank, e.Queued)
}
