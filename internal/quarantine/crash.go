package quarantine

// Crash is one crash of an upstream. It is immutable but for Reported.
type Crash struct {
	Suspects []Suspect
	// Reported is closed by the one who reports the crash, when the nodes of
	// the service know of it or the time to wait for them is over.
	Reported chan struct{}
}
