package instance

import "time"

// withdrawal records that the platform listed an instance as draining, or removed its
// entry.
type withdrawal struct {
	// startedAtMs identifies the start of the instance, in Unix milliseconds.
	startedAtMs int64
	// era is the platform's era in which the instance was listed or removed last.
	era uint64
	// draining is set if the instance itself said that it leaves, so that no entry of
	// the same start can be newer than that.
	draining bool
	markedAt time.Time
}
