package retry

import (
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// FailedAttempt describes a call whose last attempt failed.
type FailedAttempt struct {
	Service string
	// Policy is the route's retry policy; nil means no retries.
	Policy *config.RetryPolicy
	// AttemptsMade counts the attempts so far, including the first.
	AttemptsMade int
	// Ran tells whether the last attempt ran on an upstream.
	Ran call.Ran
	// Transparent is set if the attempt put no load on any upstream, for
	// example because there was no connection. A retry then does not amplify
	// the load and takes no token.
	Transparent bool
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Replayable is set if the request can be sent again in full.
	Replayable bool
	// RankOrder is the Order of the call's rank; zero is the most urgent.
	RankOrder int
	// Depth is the number of calls that the call is nested in.
	Depth int
	// WithinRetry is set if one of the calls that it is nested in is a retry.
	WithinRetry bool
	Deadline    time.Time
	// RetryAfter is the minimum mean backoff, as requested by the refusing
	// node.
	RetryAfter time.Duration
	// ExpectedDuration is how long another attempt is expected to take; zero if
	// unknown.
	ExpectedDuration time.Duration
}
