package quarantine

import "time"

// Quarantined is a quarantined fingerprint and how long it stays so.
type Quarantined struct {
	Fingerprint Fingerprint
	Remaining   time.Duration
}
