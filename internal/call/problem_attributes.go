package call

import "time"

// problemAttributes holds the attributes that a problem type determines.
type problemAttributes struct {
	status     int
	title      string
	retryAfter time.Duration
}
