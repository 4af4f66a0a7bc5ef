package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
)

// Guards against less urgent calls that spend the tokens which urgent calls of
// the same service need: with upstreams that shed half of all calls, urgent
// calls were then served less often than less urgent ones whose callers come
// back by themselves.
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
		a := failed(call.RanNo)
		a.Deadline, a.RankOrder = now.Add(time.Second), i%2
		if b.Decide(now, a, rng).Retry {
			got[a.RankOrder]++
		}
	}
	if total := got[0] + got[1]; got[0] < total*9/10 || total < 360 {
		t.Errorf("%d retries of urgent calls, %d of others", got[0], got[1])
	}
	later := now.Add(5 * time.Second)
	for range 20 {
		b.RecordFirstAttempt(later, "s", policy, 0, false)
	}
	a := failed(call.RanNo)
	a.Deadline, a.RankOrder = later.Add(time.Minute), 1
	if !b.Decide(later, a, rng).Retry {
		t.Error("no token for a less urgent call although no other asks")
	}
}
