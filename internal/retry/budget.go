package retry

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/halflife"
)

// budget holds the retry tokens of one service, with one balance per call
// depth: a shared balance would let the deepest level spend the tokens that all
// 28 levels earned. It is guarded by the lock of its shard.
type budget struct {
	tokens    [call.MaxDepth + 1]float64
	updatedAt [call.MaxDepth + 1]time.Time
	// mostUrgentOrder is the order of the most urgent rank that has requested
	// a token within urgentPriorityPeriod, last at mostUrgentAt.
	mostUrgentOrder int
	mostUrgentAt    time.Time
	// options is read-only.
	options Options
}

const (
	// outermostReserve is the default number of tokens that a service starts
	// with at depth zero, and that do not decay. It permits retries when many
	// calls fail with an upstream before enough calls have earned tokens.
	// Spent tokens are only earned back by further calls.
	outermostReserve = 10.0
	// nestedReserve is the default for each nested level. It is smaller because
	// the reserves of up to 28 levels add up, while there is only one outermost
	// level.
	nestedReserve = 1.0
	// surplusHalfLife is the half-life of unspent tokens above the reserve.
	// With 10 s, the tokens from a minute without failures allowed 1,000 retries
	// of 1,000 calls in the first second of a failure.
	surplusHalfLife = time.Second
)

// urgentPriorityPeriod is how long less urgent calls must leave one token unused
// after a more urgent call has requested one.
const urgentPriorityPeriod = time.Second

// takeToken takes a token and reports whether it did. If a more urgent call has
// recently requested a token, one is left for such calls: each node earns only a
// few tokens per second, and in a shortage less urgent calls would spend half of
// them.
func (b *budget) takeToken(now time.Time, depth, rankOrder int) bool {
	if rankOrder <= b.mostUrgentOrder || now.Sub(b.mostUrgentAt) > urgentPriorityPeriod {
		b.mostUrgentOrder, b.mostUrgentAt = rankOrder, now
	}
	needed := 1.0
	if rankOrder > b.mostUrgentOrder {
		needed = 2
	}
	tokens := b.balance(now, depth)
	if *tokens < needed {
		return false
	}
	*tokens--
	return true
}

// balance returns the tokens at a depth after decay up to now; the caller may
// modify them.
func (b *budget) balance(now time.Time, depth int) *float64 {
	depth = min(max(depth, 0), call.MaxDepth)
	reserve := b.options.NestedReserve
	if depth == 0 {
		reserve = b.options.OutermostReserve
	}
	tokens := &b.tokens[depth]
	if b.updatedAt[depth].IsZero() {
		*tokens = reserve
	} else if age := now.Sub(b.updatedAt[depth]); age > 0 && *tokens > reserve {
		*tokens = reserve + (*tokens-reserve)*halflife.Weight(age, surplusHalfLife)
	}
	b.updatedAt[depth] = now
	return tokens
}
