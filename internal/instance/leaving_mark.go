package instance

import "time"

// leavingRetention is how long a directory remembers that an instance said that it
// leaves. It is longer than upstreams need to shut down, and than an outage of the
// platform after which the entry may return.
const leavingRetention = 10 * time.Minute

// leavingMark records that an instance said that it leaves.
type leavingMark struct {
	// startedAtMs identifies the start of the instance, in Unix milliseconds.
	startedAtMs int64
	markedAt    time.Time
}
