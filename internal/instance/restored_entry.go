package instance

import "time"

// restoredGrace is how long the directory does not follow what a copy of the platform
// brings back or lacks against what was known. It is longer than the two seconds within
// which lost entries are written again, and than the entry of a silent instance stays
// listed.
const restoredGrace = 5 * time.Second

// restoredEntry is the entry of an instance that had been removed, which the platform
// lists again since its return from a copy.
type restoredEntry struct {
	instance *Instance
	// servesFrom is when the instance gets calls if it is listed until then.
	servesFrom time.Time
}
