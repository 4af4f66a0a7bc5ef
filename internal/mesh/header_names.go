package mesh

// HeaderNames holds the names, in canonical form, of the headers that callers
// and upstreams use.
type HeaderNames struct {
	// AttemptID identifies one attempt of a caller; upstreams echo it.
	AttemptID string
	// TimeLeft holds how many milliseconds the caller will still wait.
	TimeLeft string
	// Seal holds a value that an upstream derives from its response, so that
	// callers can verify the bytes. Nodes only check that it is present.
	Seal string
	// ExpectedInstance names the instance that must run a request; other
	// instances refuse it.
	ExpectedInstance string
	// NotRun is set on an upstream's response if it did not run the request.
	NotRun string
	// CallLimit holds the calls per second that an upstream in need takes from
	// all nodes together. The limit applies until a response lacks the header.
	CallLimit string
	// Leaving is set on all responses of an upstream that is leaving.
	Leaving string
	// ColdRemaining holds, in an upstream's health responses, how many milliseconds it
	// remains cold.
	ColdRemaining string
	// CallerService names the service on whose VM a request originated.
	CallerService string
}
