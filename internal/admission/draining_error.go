package admission

import "fmt"

// DrainingError reports a call that was refused because the upstream leaves.
// The call did not run.
type DrainingError struct {
	Rank string
}

func (e *DrainingError) Error() string {
	return fmt.Sprintf("the upstream is leaving and takes no call of rank %q", e.Rank)
}
