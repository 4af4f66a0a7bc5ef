package admission

import (
	"fmt"
	"time"
)

// LateError reports a call that was refused because it was not expected to end
// in time, or because it would have made a waiting call late. The call did not
// run.
type LateError struct {
	Rank string
	// Wait and Service are the expected times in the queue and on the upstream
	// of the call that would have been late.
	Wait, Service time.Duration
	// Lateness is how long after its deadline or effective deadline that call
	// would have ended. All three are zero if the call waited in a Limiter
	// until its latest start had passed.
	Lateness time.Duration
}

// Error includes the expected times. It is shown to callers as the detail of
// the problem.
func (e *LateError) Error() string {
	return fmt.Sprintf("cannot finish a call of rank %q in time: expected wait %s, service time %s, lateness %s", e.Rank, e.Wait, e.Service, e.Lateness)
}
