package quarantine

import "time"

// record is the state of one fingerprint.
type record struct {
	state State
	until time.Time
}
