package routing

import "time"

// Result is what a sender observed of one call.
type Result struct {
	Outcome Outcome
	// Order is the order of the call's rank.
	Order int
	// Latency is the time from sending to the complete answer.
	Latency time.Duration
	// Bytes is the size of request and response together; zero if unknown.
	Bytes int64
	// Report is the load report of the answer; nil if it had none.
	Report *LoadReport
}
