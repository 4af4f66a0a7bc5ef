package config

// Route maps calls to a service.
type Route struct {
	// Name is unique in the document and appears in logs and metrics.
	Name string `json:"name"`
	// Method is the HTTP method; empty matches any.
	Method string `json:"method,omitempty"`
	// Host limits the route to calls for one host; empty matches any. Routes
	// with a matching host take precedence over routes without a host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches the beginning of the path up to a segment boundary.
	PathPrefix string `json:"pathPrefix"`
	// Service is the name of the service that serves all calls which Split does
	// not distribute.
	Service string `json:"service"`
	// Split distributes the calls among services by weight if any weight is
	// positive. Only fpsidecar applies it; fpnode ignores it.
	Split []SplitPart `json:"split,omitempty"`
	// Rank is the rank of calls that do not request one.
	Rank string `json:"rank"`
	// Idempotent is set if a call may safely run more than once. fpnode requires
	// an idempotency key for calls of other routes.
	Idempotent bool `json:"idempotent"`
	// TimeoutMs is the time in milliseconds after which calls without a deadline
	// time out, and an upper bound for the others.
	TimeoutMs int64 `json:"timeoutMs"`
	// TargetMs is the target latency of calls in milliseconds; zero means the
	// target of the rank. Only fpsidecar applies it; fpnode uses the rank's.
	TargetMs int64 `json:"targetMs,omitempty"`
	// Retry is the name of a retry policy; empty means no retries.
	Retry string `json:"retry,omitempty"`
	// AllowedRegions names the only regions in which calls of the route may run;
	// empty allows all. Other regions get neither the call nor its body.
	AllowedRegions RegionSet `json:"allowedRegions,omitempty"`
}
