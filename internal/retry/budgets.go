package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// shardCount is the number of shards, each with its own lock. They hold the
// budgets of up to a few hundred services.
const shardCount = 16

// Budgets decides on retries and holds the retry budget of each service. It is
// safe for concurrent use.
type Budgets struct {
	shards [shardCount]budgetShard
}

// NewBudgets returns budgets with the default reserves.
func NewBudgets() *Budgets {
	return NewBudgetsWithOptions(Options{OutermostReserve: outermostReserve, NestedReserve: nestedReserve})
}

// NewBudgetsWithOptions returns budgets with other reserves.
func NewBudgetsWithOptions(options Options) *Budgets {
	b := &Budgets{}
	for i := range b.shards {
		b.shards[i].options = options
		b.shards[i].byService = map[string]*budget{}
	}
	return b
}

func (b *Budgets) shard(service string) *budgetShard {
	return &b.shards[xxhash.Sum64String(service)%shardCount]
}

// RecordFirstAttempt credits the budget of a service for the first attempt of a
// call, by the policy's ratio. Calls within a retry earn nothing, because they
// must not be retried.
func (b *Budgets) RecordFirstAttempt(now time.Time, service string, policy *config.RetryPolicy, depth int, withinRetry bool) {
	if policy == nil || withinRetry {
		return
	}
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.budgetFor(service).balance(now, depth) += policy.BudgetRatio
}

// Decide returns whether a failed call is retried. If so it takes a token,
// unless the attempt was transparent.
func (b *Budgets) Decide(now time.Time, a FailedAttempt, rng *rand.Rand) Decision {
	if reason := a.denialReason(); reason != "" {
		return Decision{Reason: reason}
	}
	delay := a.backoff(rng)
	if !a.Deadline.IsZero() && now.Add(delay+a.ExpectedDuration).After(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !a.Transparent && !b.TakeToken(now, a.Service, a.Depth, a.RankOrder) {
		return Decision{Reason: ReasonBudget}
	}
	reason := ReasonIdempotent
	if a.Ran == call.RanNo {
		reason = ReasonNotRun
	}
	return Decision{Retry: true, Delay: delay, Reason: reason}
}

// TakeToken takes a token for a further arrival of a call at a service and
// reports whether it did. Decide calls it for retries; a call that is sent again
// without such a decision needs a token as well.
func (b *Budgets) TakeToken(now time.Time, service string, depth, rankOrder int) bool {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetFor(service).takeToken(now, depth, rankOrder)
}

// denialReason returns why the call must not be retried regardless of deadline
// and budget, or "". A nested call is retried only if it did not run. Otherwise
// the retry is left to the outermost call, since retries at each level would
// multiply the attempts.
func (a *FailedAttempt) denialReason() Reason {
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

// backoff returns the delay before the next attempt. Its mean doubles with each
// attempt. The delay is uniformly distributed between 0.5 and 1.5 times the
// mean, so that calls that failed together are not retried together.
func (a *FailedAttempt) backoff(rng *rand.Rand) time.Duration {
	mean := time.Duration(a.Policy.BackoffMs) * time.Millisecond << min(max(a.AttemptsMade-1, 0), maxDoublings)
	mean = max(mean, a.RetryAfter)
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

// maxDoublings bounds the growth of the mean backoff.
const maxDoublings = 6
