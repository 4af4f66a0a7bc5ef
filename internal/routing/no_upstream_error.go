package routing

import "fmt"

// NoUpstreamError reports that no upstream of a service may get new work.
type NoUpstreamError struct {
	Service string
	// Known counts the upstreams that were left out.
	Known int
}

func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q has no available upstream among %d known", e.Service, e.Known)
}
