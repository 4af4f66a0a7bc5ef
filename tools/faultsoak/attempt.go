package main

// attempt is what callers and upstreams saw of one attempt of a caller.
type attempt struct {
	sent, once bool
	// runs counts the upstreams that began to work on it.
	runs int
	// notRun is the status that promised that it does not run; zero if none.
	notRun int
}
