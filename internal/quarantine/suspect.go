package quarantine

// Suspect is a request that ran when an upstream crashed; a crash report lists
// all of them.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Sole is set if the request was the only one on the upstream that had
	// been a suspect before the crash.
	Sole bool `json:"sole,omitempty"`
}
