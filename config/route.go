package config

// Route maps calls to a service.
type Route struct {
	// Name is unique in the document and appears in logs and metrics.
	Name string `json:"name"`
	// Method is the HTTP method; empty matches any.
	Method string `json:"method,omitempty"`
	// Host limits the route to calls for one host; empty matches any. Routes
	// that name the host of a call go before those that do not.
	Host string `json:"host,omitempty"`
	// PathPrefix matches the beginning of the path, on segment borders.
	PathPrefix string `json:"pathPrefix"`
	// Service is the name of the target service. With a split it is the first
	// of its parts.
	Service string `json:"service"`
	// Split distributes the calls among services by weight; empty sends all
	// to Service.
	Split []SplitPart `json:"split,omitempty"`
	// Rank is used when the call does not name one.
	Rank string `json:"rank"`
	// Idempotent tells whether a call may run more than once. Calls of other
	// routes need an idempotency key.
	Idempotent bool `json:"idempotent"`
	// TimeoutMs is the deadline in milliseconds for calls without one, and
	// the upper bound for calls with one.
	TimeoutMs int64 `json:"timeoutMs"`
	// TargetMs is the latency that calls should meet in milliseconds; zero
	// takes the target of the rank.
	TargetMs int64 `json:"targetMs,omitempty"`
	// Retry is the name of a retry policy; empty means no retries.
	Retry string `json:"retry,omitempty"`
}
