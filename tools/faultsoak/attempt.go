package main

import "time"

// attempt records what the caller and the upstreams observed of one request.
type attempt struct {
	sent, nonIdempotent bool
	// executions counts the upstreams that started to execute the request.
	executions int
	// refusalStatus is the status by which the caller was told that the request
	// was not executed, or zero.
	refusalStatus int
	// leftAt is when the caller closed the connection without waiting for the
	// response; zero if it waited.
	leftAt time.Time
}
