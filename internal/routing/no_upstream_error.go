package routing

import (
	"fmt"
	"time"
)

// NoUpstreamError reports that no upstream of a service can take the call. The
// call was not sent.
type NoUpstreamError struct {
	Service string
	// Known is the number of upstreams of the service in the member view, none of
	// them usable for this call. Skipped counts them by the state that excludes
	// them; upstreams of another region may be missing from it.
	Known   int
	Skipped SkipCounts
	// RemoteSkipped is set if another region has a serving upstream, but the
	// call's worth, deadline or target does not allow a call to another region.
	RemoteSkipped bool
	// RetryAfter is the suggested time until the caller retries.
	RetryAfter time.Duration
}

// Error states how many upstreams are known and why they were skipped.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q has no available upstream among %d known (skipped: %+v, serving upstreams in another region skipped: %t)",
		e.Service, e.Known, e.Skipped, e.RemoteSkipped)
}
