package admission

import (
	"fmt"
	"time"
)

// LateError reports a call that was refused because it was not expected to end
// by its deadline or target. The call did not run.
type LateError struct {
	Rank string
	// Wait and Service are the expected times in the queue and on the
	// upstream.
	Wait, Service time.Duration
	// Lateness is how long after its deadline or target the call would have
	// ended; zero if it waited in a Limiter until its latest start had passed.
	Lateness time.Duration
}

// Error includes the expected times. It is shown to callers as the detail of
// the problem.
func (e *LateError) Error() string {
	return fmt.Sprintf("rank %q would wait %s, run %s and end %s too late", e.Rank, e.Wait, e.Service, e.Lateness)
}
