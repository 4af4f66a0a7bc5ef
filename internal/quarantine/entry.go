package quarantine

import "time"

// entry is the state of a suspect or quarantined fingerprint.
type entry struct {
	state     State
	expiresAt time.Time
}
