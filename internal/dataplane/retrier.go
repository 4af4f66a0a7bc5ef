package dataplane

import (
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/retry"
)

// Retrier decides whether a call is sent to another upstream after a failed
// attempt. Implementations are safe for concurrent use.
type Retrier interface {
	// RecordFirstAttempt counts the first attempt of a call.
	RecordFirstAttempt(now time.Time, c *call.Call, policy *config.RetryPolicy)
	// Decide decides on another attempt. The data plane asks only if nothing
	// was sent to the caller and the body can be sent again.
	Decide(now time.Time, a FailedAttempt) retry.Decision
}
