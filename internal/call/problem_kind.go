package call

import "time"

// problemKind is what all problems of a type share.
type problemKind struct {
	status     int
	title      string
	retryAfter time.Duration
}
