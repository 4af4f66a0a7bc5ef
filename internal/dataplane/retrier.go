package dataplane

import "time"

// Retrier decides whether a call is sent to another upstream after a failed
// attempt. Implementations are safe for concurrent use.
type Retrier interface {
	// Again reports whether another attempt may follow. The data plane asks
	// only if nothing was sent to the caller and the body can be sent again.
	Again(now time.Time, a Attempt) bool
}
