package retry

import (
	"math"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
)

// budget holds the retry tokens of one service, one account per depth: a
// shared account would let the deepest level spend what 28 levels earned. It
// is guarded by the lock of its shard.
type budget struct {
	tokens [call.MaxDepth + 1]float64
	at     [call.MaxDepth + 1]time.Time
	// urgent is the most urgent order that asked for a token lately, at
	// urgentAt.
	urgent   int
	urgentAt time.Time
	// options is read-only.
	options Options
}

const (
	// outermostReserve is the default of what an outermost call's service starts with and
	// keeps when it is rarely used: a burst of calls that lose one upstream is
	// retried although few calls have earned tokens. Spent tokens come back
	// with calls only, and an outermost call is at one level only.
	outermostReserve = 10.0
	// nestedReserve is the same for each nested level, where a larger one
	// would add up over 28 levels.
	nestedReserve = 1.0
	// halfLife is how fast unspent tokens above the reserve fade. With 10 s,
	// the tokens of a healthy minute allowed 1,000 retries of 1,000 calls in the first
	// second of a failure.
	halfLife = time.Second
)

// urgentMemory is how long less urgent calls leave tokens to urgent ones.
const urgentMemory = time.Second

// take takes a token. Calls that are less urgent than others which asked lately
// leave one token to these: each node earns a few tokens a second only, and in
// a shortage the less urgent calls would spend half of them.
func (b *budget) take(now time.Time, depth, order int) bool {
	if order <= b.urgent || now.Sub(b.urgentAt) > urgentMemory {
		b.urgent, b.urgentAt = order, now
	}
	needed := 1.0
	if order > b.urgent {
		needed = 2
	}
	tokens := b.account(now, depth)
	if *tokens < needed {
		return false
	}
	*tokens--
	return true
}

func (b *budget) account(now time.Time, depth int) *float64 {
	depth = min(max(depth, 0), call.MaxDepth)
	reserve := b.options.NestedReserve
	if depth == 0 {
		reserve = b.options.OutermostReserve
	}
	t := &b.tokens[depth]
	if b.at[depth].IsZero() {
		*t = reserve
	} else if age := now.Sub(b.at[depth]); age > 0 && *t > reserve {
		*t = reserve + (*t-reserve)*math.Exp2(-age.Seconds()/halfLife.Seconds())
	}
	b.at[depth] = now
	return t
}
