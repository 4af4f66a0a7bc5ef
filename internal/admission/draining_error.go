package admission

import "fmt"

// DrainingError reports a call that was refused because the upstream is being
// drained. The call did not run.
type DrainingError struct {
	Rank string
}

// Error includes the rank. It is shown to callers as the detail of the problem.
func (e *DrainingError) Error() string {
	return fmt.Sprintf("the upstream is draining and accepts no call of rank %q", e.Rank)
}
