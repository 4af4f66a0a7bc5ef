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
	// RecordFirstAttempt counts the first attempt of a call towards the retry
	// budget.
	RecordFirstAttempt(now time.Time, c *call.Call, policy *config.RetryPolicy)
	// Decide decides whether to make another attempt. It is called only while the
	// response has not begun. A retry that it allows is not made if the request
	// body cannot be sent again.
	Decide(now time.Time, a FailedAttempt) retry.Decision
}
