package quarantine

// Suspect is one entry of a crash report.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Sole is set if the request was the only suspect on the upstream.
	Sole bool `json:"sole,omitempty"`
}
