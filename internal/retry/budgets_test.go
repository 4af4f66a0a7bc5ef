package retry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	policy = &config.RetryPolicy{Name: "p", MaxAttempts: 3, BudgetRatio: 0.1, BackoffMs: 20}
)

func failed(ran call.Ran) FailedAttempt {
	return FailedAttempt{Service: "s", Policy: policy, AttemptsMade: 1, Ran: ran, Idempotent: true, Replayable: true, Deadline: start.Add(time.Second)}
}

// Guards against retries of calls that may have run and are not idempotent,
// and against retries that cannot end in time or multiply.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*FailedAttempt)
		want   Reason
	}{
		{"not run, not idempotent", func(a *FailedAttempt) { a.Idempotent = false }, ReasonNotRun},
		{"may have run, idempotent", func(a *FailedAttempt) { a.Ran = call.RanUnknown }, ReasonIdempotent},
		{"may have run, not idempotent", func(a *FailedAttempt) { a.Ran, a.Idempotent = call.RanUnknown, false }, ReasonMayHaveRun},
		{"ran, not idempotent", func(a *FailedAttempt) { a.Ran, a.Idempotent = call.RanYes, false }, ReasonMayHaveRun},
		{"no policy", func(a *FailedAttempt) { a.Policy = nil }, ReasonNoPolicy},
		{"attempts used up", func(a *FailedAttempt) { a.AttemptsMade = 3 }, ReasonMaxAttempts},
		{"body consumed", func(a *FailedAttempt) { a.Replayable = false }, ReasonNotReplayable},
		{"too late after the backoff", func(a *FailedAttempt) { a.Deadline = start.Add(5 * time.Millisecond) }, ReasonDeadline},
		{"too late for an attempt", func(a *FailedAttempt) { a.ExpectedDuration = time.Second }, ReasonDeadline},
		{"inside a retry", func(a *FailedAttempt) { a.WithinRetry = true }, ReasonWithinRetry},
		{"nested and not run", func(a *FailedAttempt) { a.Depth = 5 }, ReasonNotRun},
		{"nested and may have run", func(a *FailedAttempt) { a.Depth, a.Ran = 5, call.RanUnknown }, ReasonNested},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := failed(call.RanNo)
			c.change(&a)
			d := NewBudgets().Decide(start, a, rand.New(rand.NewPCG(1, 2)))
			if d.Reason != c.want || d.Retry != (c.want == ReasonNotRun || c.want == ReasonIdempotent) {
				t.Errorf("got %+v, want %s", d, c.want)
			}
		})
	}
}

// Guards against calls that failed together returning together, and against a
// delay shorter than the refusing node asked for by more than the jitter.
func TestDelaySpreads(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	seen := map[time.Duration]bool{}
	for made := 1; made <= 2; made++ {
		for range 100 {
			a := failed(call.RanNo)
			a.AttemptsMade = made
			d := a.delay(rng)
			seen[d] = true
			mean := 20 * time.Millisecond << (made - 1)
			if d < mean/2 || d > mean*3/2 {
				t.Fatalf("attempt %d waits %s", made, d)
			}
		}
	}
	if len(seen) < 150 {
		t.Errorf("200 delays take %d values", len(seen))
	}
}

// Guards against retries above the ratio when all calls of a service fail at
// once, from many goroutines, and against a budget saved up for hours.
func TestBudgetBounds(t *testing.T) {
	b := NewBudgets()
	var retries sync.Map
	var callers sync.WaitGroup
	for g := range 10 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 1))
			n := 0
			for range 1000 {
				b.RecordFirstAttempt(start, "s", policy, 0, false)
				if b.Decide(start, failed(call.RanNo), rng).Retry {
					n++
				}
			}
			retries.Store(g, n)
		})
	}
	callers.Wait()
	total := 0
	retries.Range(func(_, n any) bool { total += n.(int); return true })
	if total < 990 || total > 1000+outermostReserve {
		t.Errorf("%d retries for 10000 calls at 10%% and a reserve of %g", total, outermostReserve)
	}
	for range 1000 {
		b.RecordFirstAttempt(start, "s", policy, 0, false)
	}
	later, idle := start.Add(time.Hour), 0
	for b.take(later, &FailedAttempt{Service: "s"}) {
		idle++
	}
	if idle != outermostReserve {
		t.Errorf("the budget of an idle service is %d, not its reserve of %g", idle, outermostReserve)
	}
}

// levels simulates nested calls through nodes that each hold their own budget.
type levels struct {
	budgets [28]*Budgets
	rng     *rand.Rand
	now     time.Time
	leaf    int
	total   int
	ran     func(depth int) call.Ran
	service func(depth int) string
	naive   bool
}

// call makes one call at a depth, with its retries; every leaf fails.
func (l *levels) call(depth int, withinRetry bool) {
	b, account := l.budgets[depth], depth
	if l.naive {
		account = 0
	}
	b.RecordFirstAttempt(l.now, l.service(depth), policy, account, withinRetry)
	for made := 1; ; made++ {
		l.total++
		if depth == len(l.budgets)-1 {
			l.leaf++
		} else {
			l.call(depth+1, withinRetry || made > 1 && !l.naive)
		}
		a := failed(l.ran(depth))
		a.AttemptsMade, a.Depth, a.WithinRetry, a.Service = made, account, withinRetry, l.service(depth)
		a.Deadline = time.Time{}
		if !b.Decide(l.now, a, l.rng).Retry {
			return
		}
	}
}

func newLevels(ran func(int) call.Ran, service func(int) string) *levels {
	l := &levels{rng: rand.New(rand.NewPCG(5, 6)), now: start, ran: ran, service: service}
	for i := range l.budgets {
		l.budgets[i] = NewBudgets()
	}
	return l
}

// Guards against attempts that multiply over 28 nested levels when every leaf
// fails. With a ratio r the stated bound on attempts at the leaf and in total
// is 1+2r per call plus the reserve of one retry per level: the leaf's own
// retries add r, those of the outermost call add r and allow none below them.
func TestAttemptsDoNotMultiplyOver28Levels(t *testing.T) {
	const calls = 2000
	same := func(int) string { return "s" }
	each := func(depth int) string { return string(rune('a' + depth)) }
	notRunLeaf := func(depth int) call.Ran {
		if depth == 27 {
			return call.RanNo
		}
		return call.RanUnknown
	}
	unknown := func(int) call.Ran { return call.RanUnknown }
	// A nested call that did not run had no calls below it, so RanNo at every
	// level cannot happen; it is simulated as the worst that nodes could claim.
	for name, l := range map[string]*levels{
		"leaf refuses, a service per level": newLevels(notRunLeaf, each),
		"leaf refuses, one service":         newLevels(notRunLeaf, same),
		"connections break at all levels":   newLevels(unknown, each),
	} {
		for _, oneNode := range []bool{false, true} {
			if oneNode {
				shared := NewBudgets()
				for i := range l.budgets {
					l.budgets[i] = shared
				}
				l.leaf, l.total = 0, 0
			}
			for range calls {
				l.call(0, false)
				l.now = l.now.Add(time.Millisecond)
			}
			factor, total := float64(l.leaf)/calls, float64(l.total)/calls/28
			t.Logf("%s, one node %t: %.3f attempts at the leaf per call, %.3f in total", name, oneNode, factor, total)
			if limit := 1 + 2*policy.BudgetRatio + 28.0/calls; factor > limit || total > limit {
				t.Errorf("%s: %.3f at the leaf and %.3f in total exceed %.3f", name, factor, total, limit)
			}
		}
	}
	naive := newLevels(unknown, each)
	naive.naive = true
	for range 200 {
		naive.call(0, false)
	}
	if factor := float64(naive.leaf) / 200; factor < 3 {
		t.Errorf("without the nesting rules the factor is %.2f; the simulation proves nothing", factor)
	}
}

// Guards against a healthy period that saves up enough retries to multiply the
// load when a failure begins.
func TestBudgetBurst(t *testing.T) {
	b, rng := NewBudgets(), rand.New(rand.NewPCG(1, 2))
	now := start
	for range 60_000 {
		b.RecordFirstAttempt(now, "s", policy, 0, false)
		now = now.Add(time.Millisecond)
	}
	retries := 0
	for range 1000 {
		b.RecordFirstAttempt(now, "s", policy, 0, false)
		a := failed(call.RanNo)
		a.Deadline = time.Time{}
		if b.Decide(now, a, rng).Retry {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	if retries > 250 {
		t.Errorf("%d retries of 1000 calls in the first second of a failure", retries)
	}
}

func BenchmarkDecide(b *testing.B) {
	budgets, rng := NewBudgets(), rand.New(rand.NewPCG(1, 2))
	a := failed(call.RanNo)
	b.ReportAllocs()
	for b.Loop() {
		budgets.RecordFirstAttempt(start, "s", policy, 0, false)
		budgets.Decide(start, a, rng)
	}
}

// Guards against calls that fail right after an upstream died because a quiet
// service has no budget: an attempt without a connection takes no token, and is
// still bounded by the policy's attempts.
func TestTransparentRetriesTakeNoToken(t *testing.T) {
	b := NewBudgets()
	rng := rand.New(rand.NewPCG(1, 1))
	a := failed(call.RanNo)
	a.Transparent = true
	for range 50 {
		if d := b.Decide(start, a, rng); !d.Retry {
			t.Fatalf("transparent retry refused: %s", d.Reason)
		}
	}
	if d := b.Decide(start, failed(call.RanNo), rng); !d.Retry {
		t.Errorf("the reserve was spent by transparent retries: %s", d.Reason)
	}
	a.AttemptsMade = policy.MaxAttempts
	if d := b.Decide(start, a, rng); d.Retry {
		t.Error("transparent retries exceed the policy's attempts")
	}
}
