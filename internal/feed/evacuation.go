package feed

// Evacuation is an operator's request that the upstreams of an availability zone get no
// calls, or the end of that request.
type Evacuation struct {
	Zone string
	// Active is false once the operator has taken the request back.
	Active bool
}
