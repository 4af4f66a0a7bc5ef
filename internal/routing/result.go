package routing

import "time"

// Result is the sender's observation of one finished call.
type Result struct {
	Outcome Outcome
	// Order is the position of the call's rank, 0 for the most urgent.
	Order int
	// Latency is the time from sending the call to the complete response.
	Latency time.Duration
	// Bytes is the size of request and response together; zero if unknown.
	Bytes int64
	// Report is the load report in the response; nil if it had none.
	Report *LoadReport
}
