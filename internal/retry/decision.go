package retry

import "time"

// Decision tells whether and when a call is tried again, and why.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}
