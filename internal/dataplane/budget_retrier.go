package dataplane

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/retry"
)

// budgetRetrier is a Retrier that applies the route's retry policy within the
// retry budget of its service.
type budgetRetrier struct {
	budgets *retry.Budgets
}

func newBudgetRetrier() budgetRetrier { return budgetRetrier{budgets: retry.NewBudgets()} }

// RecordFirstAttempt implements Retrier.
func (b budgetRetrier) RecordFirstAttempt(now time.Time, c *call.Call, policy *config.RetryPolicy) {
	b.budgets.RecordFirstAttempt(now, c.Route.Service, policy, c.Depth, c.WithinRetry)
}

// Decide implements Retrier.
func (b budgetRetrier) Decide(now time.Time, a FailedAttempt) retry.Decision {
	if !otherUpstreamMayServe[a.Problem.Type] {
		return retry.Decision{Reason: retry.ReasonMayHaveRun}
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// RetryAfter is left out: it concerns the upstream whose node rejected the
	// call, and the next attempt goes to another one. Replayable is always set,
	// because the caller of Decide checks whether the body can be sent again.
	return b.budgets.Decide(now, retry.FailedAttempt{
		Service: a.Call.Route.Service, Policy: a.Policy, AttemptsMade: a.Number,
		Ran: a.Problem.Ran, Transparent: a.Problem.Ran == call.RanNo && a.Problem.Type != call.ProblemOverloaded,
		Idempotent: a.Call.Route.Idempotent, Replayable: true,
		Depth: a.Call.Depth, WithinRetry: a.Call.WithinRetry, Deadline: a.Call.Deadline,
	}, rng)
}

// otherUpstreamMayServe holds the problems after which another upstream may still
// be able to serve the call.
var otherUpstreamMayServe = map[call.ProblemType]bool{
	call.ProblemNotReady: true, call.ProblemConfigBehind: true, call.ProblemOverloaded: true,
	call.ProblemUpstreamFailed: true, call.ProblemUpstreamLeaving: true, call.ProblemTargetMismatch: true,
}
