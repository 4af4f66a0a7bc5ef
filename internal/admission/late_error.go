package admission

import (
	"fmt"
	"time"
)

// LateError reports a call that was refused because it could not end in time.
// The call did not run.
type LateError struct {
	Rank string
	// Wait and Service are the expected times in the queue and on the
	// upstream.
	Wait, Service time.Duration
	// Lateness is how much the call would have ended after its time.
	Lateness time.Duration
}

func (e *LateError) Error() string {
	return fmt.Sprintf("rank %q would wait %s, run %s and end %s too late", e.Rank, e.Wait, e.Service, e.Lateness)
}
