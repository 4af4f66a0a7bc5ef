package mesh

// HeaderNames are the headers that callers and upstreams speak, in canonical form.
type HeaderNames struct {
	// AttemptID identifies one attempt of a caller; upstreams repeat it.
	AttemptID string
	// TimeLeft holds the milliseconds that the caller still waits.
	TimeLeft string
	// Seal vouches for the bytes of an upstream's answer.
	Seal string
	// ExpectedInstance names the instance that is to run a request; others refuse it.
	ExpectedInstance string
	// NotRun is set on an upstream's answer if it did not run the request.
	NotRun string
	// CallerService names the service on the VM where a request began.
	CallerService string
}
