package routing

import (
	"fmt"
	"time"
)

// NoUpstreamError reports that no upstream of a service may get new work. The
// call did not run.
type NoUpstreamError struct {
	Service string
	// Known counts the upstreams that were left out.
	Known   int
	LeftOut LeftOut
	// RemoteWithheld is set if another region serves but the call is not
	// worth its bytes.
	RemoteWithheld bool
	// RetryAfter is when the next probe may find an upstream.
	RetryAfter time.Duration
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q has no available upstream among %d known (%+v, another region withheld: %t)",
		e.Service, e.Known, e.LeftOut, e.RemoteWithheld)
}
