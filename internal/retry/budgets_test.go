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

func failedAttempt(ran call.Ran) FailedAttempt {
	return FailedAttempt{Service: "s", Policy: policy, AttemptsMade: 1, Ran: ran, Idempotent: true, Replayable: true, Deadline: start.Add(time.Second)}
}

// Guards against retries of non-idempotent calls that may have run, against
// retries that cannot end by the deadline, and against retries at several levels.
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
			a := failedAttempt(call.RanNo)
			c.change(&a)
			d := NewBudgets().Decide(start, a, rand.New(rand.NewPCG(1, 2)))
			if d.Reason != c.want || d.Retry != (c.want == ReasonNotRun || c.want == ReasonIdempotent) {
				t.Errorf("got %+v, want reason %s", d, c.want)
			}
		})
	}
}

// Guards against calls that failed together being retried together, and against
// a backoff outside the jitter around its mean.
func TestBackoffJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	delays := map[time.Duration]bool{}
	for made := 1; made <= 2; made++ {
		for range 100 {
			a := failedAttempt(call.RanNo)
			a.AttemptsMade = made
			d := a.backoff(rng)
			delays[d] = true
			mean := 20 * time.Millisecond << (made - 1)
			if d < mean/2 || d > mean*3/2 {
				t.Fatalf("the backoff after attempt %d is %s, not within half to 1.5 times its mean", made, d)
			}
		}
	}
	if len(delays) < 150 {
		t.Errorf("200 backoffs have only %d distinct values, want at least 150", len(delays))
	}
}

// Guards against more retries than the ratio allows when all calls of a service
// fail in many goroutines at once, and against tokens that do not decay.
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
				if b.Decide(start, failedAttempt(call.RanNo), rng).Retry {
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
		t.Errorf("%d retries of 10000 calls, want 990 to 1000 plus the reserve of %g", total, outermostReserve)
	}
	for range 1000 {
		b.RecordFirstAttempt(start, "s", policy, 0, false)
	}
	later, tokens := start.Add(time.Hour), 0
	for b.TakeToken(later, "s", 0, 0) {
		tokens++
	}
	if tokens != outermostReserve {
		t.Errorf("an idle service has %d tokens, want its reserve of %g", tokens, outermostReserve)
	}
}

// callTree simulates nested calls through 28 levels of nodes, each with its own
// budgets. With noNestingRules, each call decides as if it were the outermost.
type callTree struct {
	budgets        [28]*Budgets
	rng            *rand.Rand
	now            time.Time
	leafAttempts   int
	totalAttempts  int
	ran            func(depth int) call.Ran
	service        func(depth int) string
	noNestingRules bool
}

// call makes one call at a depth, with its retries; every attempt fails.
func (tree *callTree) call(depth int, withinRetry bool) {
	b, budgetDepth := tree.budgets[depth], depth
	if tree.noNestingRules {
		budgetDepth = 0
	}
	b.RecordFirstAttempt(tree.now, tree.service(depth), policy, budgetDepth, withinRetry)
	for made := 1; ; made++ {
		tree.totalAttempts++
		if depth == len(tree.budgets)-1 {
			tree.leafAttempts++
		} else {
			tree.call(depth+1, withinRetry || made > 1 && !tree.noNestingRules)
		}
		a := failedAttempt(tree.ran(depth))
		a.AttemptsMade, a.Depth, a.WithinRetry, a.Service = made, budgetDepth, withinRetry, tree.service(depth)
		a.Deadline = time.Time{}
		if !b.Decide(tree.now, a, tree.rng).Retry {
			return
		}
	}
}

func newCallTree(ran func(int) call.Ran, service func(int) string) *callTree {
	tree := &callTree{rng: rand.New(rand.NewPCG(5, 6)), now: start, ran: ran, service: service}
	for i := range tree.budgets {
		tree.budgets[i] = NewBudgets()
	}
	return tree
}

// Guards against attempts that multiply over 28 nested levels when every attempt
// fails. With a budget ratio r, the test permits 1+2r attempts per call, at the
// leaf and on average over all levels: retries of the leaf add r, and retries of
// the outermost call add r and permit none below them. For the reserves it
// permits 28 further attempts in all, one per level.
func TestAttemptsDoNotMultiplyOver28Levels(t *testing.T) {
	const calls = 2000
	oneService := func(int) string { return "s" }
	servicePerLevel := func(depth int) string { return string(rune('a' + depth)) }
	notRunLeaf := func(depth int) call.Ran {
		if depth == 27 {
			return call.RanNo
		}
		return call.RanUnknown
	}
	unknown := func(int) call.Ran { return call.RanUnknown }
	// RanNo at every level cannot occur, because a call that did not run has no
	// nested calls; hence only the leaf reports it.
	for name, tree := range map[string]*callTree{
		"leaf refuses, a service per level": newCallTree(notRunLeaf, servicePerLevel),
		"leaf refuses, one service":         newCallTree(notRunLeaf, oneService),
		"connections break at all levels":   newCallTree(unknown, servicePerLevel),
	} {
		for _, oneNode := range []bool{false, true} {
			if oneNode {
				shared := NewBudgets()
				for i := range tree.budgets {
					tree.budgets[i] = shared
				}
				tree.leafAttempts, tree.totalAttempts = 0, 0
			}
			for range calls {
				tree.call(0, false)
				tree.now = tree.now.Add(time.Millisecond)
			}
			leafFactor, meanFactor := float64(tree.leafAttempts)/calls, float64(tree.totalAttempts)/calls/28
			t.Logf("%s, one node %t: %.3f attempts per call at the leaf, %.3f on average over all levels", name, oneNode, leafFactor, meanFactor)
			if limit := 1 + 2*policy.BudgetRatio + 28.0/calls; leafFactor > limit || meanFactor > limit {
				t.Errorf("%s: %.3f attempts per call at the leaf and %.3f on average over all levels, want at most %.3f", name, leafFactor, meanFactor, limit)
			}
		}
	}
	control := newCallTree(unknown, servicePerLevel)
	control.noNestingRules = true
	for range 200 {
		control.call(0, false)
	}
	if factor := float64(control.leafAttempts) / 200; factor < 3 {
		t.Errorf("control without the nesting rules: %.2f attempts per call at the leaf, want at least 3", factor)
	}
}

// Guards against tokens accumulated over a healthy period that multiply the load
// when a failure begins.
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
		a := failedAttempt(call.RanNo)
		a.Deadline = time.Time{}
		if b.Decide(now, a, rng).Retry {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	if retries > 250 {
		t.Errorf("%d retries of 1000 calls in the first second of a failure, want at most 250", retries)
	}
}

// BenchmarkDecide measures a first attempt and the decision after its failure.
func BenchmarkDecide(b *testing.B) {
	budgets, rng := NewBudgets(), rand.New(rand.NewPCG(1, 2))
	a := failedAttempt(call.RanNo)
	b.ReportAllocs()
	for b.Loop() {
		budgets.RecordFirstAttempt(start, "s", policy, 0, false)
		budgets.Decide(start, a, rng)
	}
}

// Guards against calls that fail right after the loss of an upstream because a
// rarely called service has no tokens. A retry after an attempt without a
// connection takes no token, but the policy's MaxAttempts still bounds it.
func TestTransparentRetriesTakeNoToken(t *testing.T) {
	b := NewBudgets()
	rng := rand.New(rand.NewPCG(1, 1))
	a := failedAttempt(call.RanNo)
	a.Transparent = true
	for range 50 {
		if d := b.Decide(start, a, rng); !d.Retry {
			t.Fatalf("transparent retry refused: %s", d.Reason)
		}
	}
	if d := b.Decide(start, failedAttempt(call.RanNo), rng); !d.Retry {
		t.Errorf("the reserve was spent by transparent retries: %s", d.Reason)
	}
	a.AttemptsMade = policy.MaxAttempts
	if d := b.Decide(start, a, rng); d.Retry {
		t.Error("a transparent retry exceeded the policy's MaxAttempts")
	}
}
