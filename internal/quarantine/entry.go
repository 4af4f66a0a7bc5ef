package quarantine

import "time"

// entry is the state of a fingerprint that is or was suspect. StateClear means that
// the request has succeeded since it was last suspect.
type entry struct {
	state     State
	expiresAt time.Time
}
