package dataplane

import (
	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// FailedAttempt describes a call's last attempt, which failed, for Retrier.Decide.
type FailedAttempt struct {
	Call *call.Call
	// Policy is the route's retry policy, or nil.
	Policy *config.RetryPolicy
	// Number counts the attempts of the call, from 1.
	Number  int
	Problem *call.Problem
}
