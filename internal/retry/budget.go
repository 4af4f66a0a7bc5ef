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
}

const (
	// reserve is the number of tokens of a service without recent calls, so
	// that a rarely used service can retry at all.
	reserve = 1.0
	// halfLife is how fast unspent tokens fade: "recent calls" are those of
	// about the last 10 s.
	halfLife = 10 * time.Second
)

func (b *budget) account(now time.Time, depth int) *float64 {
	depth = min(max(depth, 0), call.MaxDepth)
	t := &b.tokens[depth]
	if b.at[depth].IsZero() {
		*t = reserve
	} else if age := now.Sub(b.at[depth]); age > 0 {
		*t = reserve + (*t-reserve)*math.Exp2(-age.Seconds()/halfLife.Seconds())
	}
	b.at[depth] = now
	return t
}
