package retry

import "time"

// Decision is the outcome of Budgets.Decide.
type Decision struct {
	Retry bool
	// Delay is the backoff before the retry.
	Delay time.Duration
	// Reason explains the decision, also if Retry is set.
	Reason Reason
}
