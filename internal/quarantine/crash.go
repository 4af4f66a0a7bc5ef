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

// Fingerprints returns the fingerprints of the suspects, each once.
func (c *Crash) Fingerprints() []Fingerprint {
	seen := make(map[Fingerprint]bool, len(c.Suspects))
	var list []Fingerprint
	for _, s := range c.Suspects {
		if !seen[s.Fingerprint] {
			seen[s.Fingerprint] = true
			list = append(list, s.Fingerprint)
		}
	}
	return list
}
