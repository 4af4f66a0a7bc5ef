package virtual

import "time"

// event is a function that the clock calls at a virtual time. seq orders the
// events that are due at the same time.
type event struct {
	due time.Time
	seq uint64
	run func()
}
