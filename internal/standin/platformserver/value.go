package platformserver

import "time"

// value is one revision of a key.
type value struct {
	revision    uint64
	data        []byte
	publishedAt time.Time
}
