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
	// Decide decides on another attempt. It is called only if nothing has been
	// sent to the caller. The attempt is dropped if the body cannot be replayed.
	Decide(now time.Time, a FailedAttempt) retry.Decision
}
