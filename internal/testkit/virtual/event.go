package virtual

import "time"

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}
