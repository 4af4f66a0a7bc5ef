package comeback

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// returnHeap orders callers by when they come.
type returnHeap []arrival

// arrival is one attempt of a caller.
type arrival struct {
	at      time.Time
	refused int
}

func (h returnHeap) Len() int           { return len(h) }
func (h returnHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h returnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *returnHeap) Push(x any)        { *h = append(*h, x.(arrival)) }
func (h *returnHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// play runs 20 s with a flood of three times the capacity from second 2 to 5, in which
// an upstream serves capacity calls a second in windows of 50 ms and refuses the others.
// told returns after which time a refused caller comes back; it gives up after its third
// refusal. play returns the calls served and the refusals of callers that came back.
func play(observeServed func(time.Time), told func(time.Time) time.Duration) (served, refusedAgain int) {
	const capacity, window = 200, 50 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	calls := &returnHeap{}
	for ms := range 20_000 {
		perSecond := 0.7 * capacity
		if ms >= 2_000 && ms < 5_000 {
			perSecond = 3 * capacity
		}
		if rng.Float64() < perSecond/1000 {
			heap.Push(calls, arrival{at: start.Add(time.Duration(ms) * time.Millisecond)})
		}
	}
	inWindow := map[int64]int{}
	for calls.Len() > 0 {
		c := heap.Pop(calls).(arrival)
		w := c.at.Sub(start).Nanoseconds() / int64(window)
		if inWindow[w] < int(capacity*window.Seconds()) {
			inWindow[w]++
			served++
			observeServed(c.at)
			continue
		}
		if c.refused > 0 {
			refusedAgain++
		}
		if c.refused++; c.refused < 3 {
			heap.Push(calls, arrival{at: c.at.Add(told(c.at)), refused: c.refused})
		}
	}
	return served, refusedAgain
}

// Guards against callers that are told to come back when there is no room for them: in a
// flood, more of them are served and fewer refused again than with a short random time.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	const wait = 50 * time.Millisecond
	p, key := NewPlanner(), Key{Service: "s"}
	served, again := play(func(now time.Time) { p.ObserveServed(now, key) }, func(now time.Time) time.Duration {
		after, _ := p.Next(now, key, wait, time.Minute)
		return after
	})
	rng := rand.New(rand.NewPCG(1, 2))
	baseServed, baseAgain := play(func(time.Time) {}, func(time.Time) time.Duration { return wait + rand.N(wait) + time.Duration(rng.IntN(2)) })
	t.Logf("served %d, refused again %d; with a short random time %d and %d", served, again, baseServed, baseAgain)
	if served <= baseServed || again*2 > baseAgain {
		t.Errorf("served %d and refused again %d, want more than %d and at most half of %d", served, again, baseServed, baseAgain)
	}
}

// Guards against a plan that keeps callers away after the flood has ended.
func TestPlanEndsWithItsLastReturn(t *testing.T) {
	p, key, now := NewPlanner(), Key{Service: "s"}, time.Unix(1_700_000_000, 0)
	for range 100 {
		p.ObserveServed(now, key)
		p.Next(now, key, 0, time.Minute)
	}
	if got, ok := p.Next(now.Add(time.Minute), key, 10*time.Millisecond, time.Minute); !ok || got != 10*time.Millisecond {
		t.Errorf("a minute later a caller is told to come back after %s, want the 10ms of the refusal", got)
	}
}

// Guards against a plan that grows without end in a long flood: callers that cannot wait
// so long take no place in it.
func TestPlanHoldsOnlyCallersThatCanWait(t *testing.T) {
	p, key, now := NewPlanner(), Key{Service: "s"}, time.Unix(1_700_000_000, 0)
	planned := 0
	for range 1000 {
		if _, ok := p.Next(now, key, 0, time.Second); ok {
			planned++
		}
	}
	if want := int(minPerSecond) + 1; planned > want {
		t.Errorf("%d callers were planned within a second, want at most %d", planned, want)
	}
}
