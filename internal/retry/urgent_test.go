package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
)

// Guards against less urgent calls that spend the tokens of urgent calls of the
// same service. When upstreams shed half of all calls, urgent calls were served
// less often than less urgent ones, whose callers also send their own retries.
func TestUrgentCallsGetTheTokens(t *testing.T) {
	b := NewBudgetsWithOptions(Options{OutermostReserve: 1, NestedReserve: 1})
	rng := rand.New(rand.NewPCG(1, 2))
	now, got := start, [2]int{}
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordFirstAttempt(now, "s", policy, 0, false)
		if i%4 >= 2 {
			continue
		}
		a := failedAttempt(call.RanNo)
		a.Deadline, a.RankOrder = now.Add(time.Second), i%2
		if b.Decide(now, a, rng).Retry {
			got[a.RankOrder]++
		}
	}
	if total := got[0] + got[1]; got[0] < total*9/10 || total < 360 {
		t.Errorf("%d retries of urgent calls, %d of others; want at least 360 retries, nine tenths of them urgent", got[0], got[1])
	}
	later := now.Add(5 * time.Second)
	for range 20 {
		b.RecordFirstAttempt(later, "s", policy, 0, false)
	}
	a := failedAttempt(call.RanNo)
	a.Deadline, a.RankOrder = later.Add(time.Minute), 1
	if !b.Decide(later, a, rng).Retry {
		t.Error("a less urgent call got no token although no urgent call had requested one for 5 s")
	}
}
