package quarantine

// Crash is one crash of an upstream. It is immutable, except that Reported gets
// closed.
type Crash struct {
	// Suspects lists the requests that ran when the upstream crashed.
	Suspects []Suspect
	// Reported is closed by the goroutine that reports the crash, once the
	// other nodes of the service have acknowledged the report or a timeout has
	// passed.
	Reported chan struct{}
}
