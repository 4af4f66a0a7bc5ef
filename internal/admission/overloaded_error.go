package admission

import "fmt"

// OverloadedError reports a call that was refused and did not run.
type OverloadedError struct {
	Rank   string
	Queued int
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("no slot for rank %q with %d calls waiting", e.Rank, e.Queued)
}
