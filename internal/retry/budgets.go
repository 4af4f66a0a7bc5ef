package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// budgetShards spreads the budgets of up to a few hundred services.
const budgetShards = 16

// Budgets decides on retries and keeps the retry budget of each service. It is
// safe for concurrent use.
type Budgets struct {
	shards [budgetShards]budgetShard
}

// NewBudgets returns budgets without recent calls and with the default reserves.
func NewBudgets() *Budgets {
	return NewBudgetsWithOptions(Options{OutermostReserve: outermostReserve, NestedReserve: nestedReserve})
}

// NewBudgetsWithOptions returns budgets without recent calls.
func NewBudgetsWithOptions(o Options) *Budgets {
	b := &Budgets{}
	for i := range b.shards {
		b.shards[i].options = o
		b.shards[i].byService = map[string]*budget{}
	}
	return b
}

func (b *Budgets) shard(service string) *budgetShard {
	return &b.shards[xxhash.Sum64String(service)%budgetShards]
}

// RecordFirstAttempt counts the first attempt of a call. Calls within a retry earn
// nothing, because they may not retry.
func (b *Budgets) RecordFirstAttempt(now time.Time, service string, policy *config.RetryPolicy, depth int, withinRetry bool) {
	if policy == nil || withinRetry {
		return
	}
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.get(service).account(now, depth) += policy.BudgetRatio
}

// Decide tells whether a failed call is tried again and takes a token if so.
func (b *Budgets) Decide(now time.Time, a FailedAttempt, rng *rand.Rand) Decision {
	if reason := a.forbidden(); reason != "" {
		return Decision{Reason: reason}
	}
	delay := a.delay(rng)
	if !a.Deadline.IsZero() && now.Add(delay+a.ExpectedDuration).After(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !a.Transparent && !b.take(now, &a) {
		return Decision{Reason: ReasonBudget}
	}
	reason := ReasonIdempotent
	if a.Ran == call.RanNo {
		reason = ReasonNotRun
	}
	return Decision{Retry: true, Delay: delay, Reason: reason}
}

func (b *Budgets) take(now time.Time, a *FailedAttempt) bool {
	s := b.shard(a.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(a.Service).take(now, a.Depth, a.RankOrder)
}

// forbidden returns why the call must not be tried again, or "". A nested call
// retries only what did not run: what may have run is left to the outermost
// call, since each level that retried it would multiply the attempts.
func (a *FailedAttempt) forbidden() Reason {
	switch {
	case a.Policy == nil:
		return ReasonNoPolicy
	case a.AttemptsMade >= a.Policy.MaxAttempts:
		return ReasonMaxAttempts
	case !a.Replayable:
		return ReasonNotReplayable
	case a.Transparent:
		return ""
	case a.WithinRetry:
		return ReasonWithinRetry
	case a.Ran == call.RanNo:
		return ""
	case !a.Idempotent:
		return ReasonMayHaveRun
	case a.Depth > 0:
		return ReasonNested
	}
	return ""
}

// delay doubles the mean per attempt and spreads it evenly over half to one
// and a half of it, so that calls that failed together do not return together.
func (a *FailedAttempt) delay(rng *rand.Rand) time.Duration {
	mean := time.Duration(a.Policy.BackoffMs) * time.Millisecond << min(max(a.AttemptsMade-1, 0), maxDoublings)
	mean = max(mean, a.RetryAfter)
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

// maxDoublings bounds the growth of the delay.
const maxDoublings = 6
