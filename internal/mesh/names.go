package mesh

// Names are the headers that callers and upstreams speak, in canonical form.
type Names struct {
	// AttemptID identifies one attempt of a caller; upstreams repeat it.
	AttemptID string
	// TimeLeft holds the milliseconds that the caller still waits.
	TimeLeft string
	// Seal vouches for the bytes of an upstream's answer.
	Seal string
	// Expect names the instance that is to run a request; others refuse it.
	Expect string
	// NotRun is set on an upstream's answer if it did not run the request.
	NotRun string
	// Caller names the service on the VM where a request began.
	Caller string
}
