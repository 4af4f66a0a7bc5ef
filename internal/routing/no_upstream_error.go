package routing

import (
	"fmt"
	"time"
)

// NoUpstreamError reports that no upstream of a service may get the call. The
// call was not sent.
type NoUpstreamError struct {
	Service string
	// Known is the number of upstreams in the member view, all of them unusable
	// for this call. Skipped counts those that were skipped for their state.
	Known   int
	Skipped SkipCounts
	// RemoteWithheld is set if another region serves but the call's worth does
	// not cover the cost of its bytes between regions.
	RemoteWithheld bool
	// RetryAfter is the time until the next probe may find an upstream.
	RetryAfter time.Duration
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q has no available upstream among %d known (%+v, another region withheld: %t)",
		e.Service, e.Known, e.Skipped, e.RemoteWithheld)
}
