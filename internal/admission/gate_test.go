package admission

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	urgent = &config.Rank{Name: "urgent", Order: 0, TargetMs: 1000}
	normal = &config.Rank{Name: "normal", Order: 1, TargetMs: 1000, Floor: 0.2}
	least  = &config.Rank{Name: "least", Order: 2, TargetMs: 1000, Floor: 0.1}
	ranks  = []*config.Rank{urgent, normal, least}
)

// gateHarness drives a gate in virtual time.
type gateHarness struct {
	gate *Gate
	now  time.Time
	// running lists the running calls by start; refused holds the outcome of
	// calls that were refused after they had waited.
	running []*Ticket
	refused map[*Ticket]error
}

func newGateHarness(limits Limits) *gateHarness {
	h := &gateHarness{now: epoch, refused: map[*Ticket]error{}}
	h.gate = NewGate(limits, func(t *Ticket, err error) {
		if err != nil {
			h.refused[t] = err
			return
		}
		h.running = append(h.running, t)
	})
	return h
}

func (h *gateHarness) submit(rank *config.Rank, timeLeft time.Duration) (*Ticket, error) {
	t := &Ticket{Rank: rank, Deadline: h.now.Add(timeLeft)}
	granted, err := h.gate.Submit(h.now, t)
	if granted {
		h.running = append(h.running, t)
	}
	return t, err
}

// finish ends the call that started first.
func (h *gateHarness) finish() *Ticket {
	t := h.running[0]
	h.running = h.running[1:]
	h.gate.Release(h.now, t)
	return t
}

// warm runs calls one after another until the estimate is near service.
func (h *gateHarness) warm(rank *config.Rank, service time.Duration) {
	for range 64 {
		_, _ = h.submit(rank, time.Hour)
		h.now = h.now.Add(service)
		h.finish()
	}
}

// Guards against running calls by arrival instead of by rank, and against
// ignoring deadlines within a rank.
func TestGateOrder(t *testing.T) {
	h := newGateHarness(Limits{Slots: 1, Connections: 10, Ranks: []*config.Rank{urgent, {Name: "plain", Order: 5}}})
	first, _ := h.submit(urgent, time.Second)
	lessUrgent, _ := h.submit(&config.Rank{Name: "plain", Order: 5}, time.Second)
	second, _ := h.submit(urgent, 900*time.Millisecond)
	earliest, _ := h.submit(urgent, 500*time.Millisecond)
	for i, want := range []*Ticket{first, earliest, second, lessUrgent} {
		if got := h.finish(); got != want {
			t.Fatalf("call %d ran out of order: rank %s, deadline %s", i, got.Rank.Name, got.Deadline.Sub(epoch))
		}
	}
}

// Guards against a flood of one rank using the floors of the others. Floors of
// 0.2 and 0.1 of 6 slots are not whole numbers of slots.
func TestGateKeepsFloors(t *testing.T) {
	h := newGateHarness(Limits{Slots: 6, Connections: 110, Ranks: ranks})
	served := map[string]int{}
	total := 0
	for range 6000 {
		for _, r := range ranks {
			for h.gate.entryFor(r).queue.length.Load() < 20 {
				if _, err := h.submit(r, time.Hour); err != nil {
					t.Fatal(err)
				}
			}
		}
		h.now = h.now.Add(20 * time.Millisecond / 6)
		served[h.finish().Rank.Name]++
		total++
	}
	for _, r := range ranks[1:] {
		if share := float64(served[r.Name]) / float64(total); share < 0.98*r.Floor || share > 1.1*r.Floor {
			t.Errorf("rank %s got a share of %.3f, its floor is %.2f", r.Name, share, r.Floor)
		}
	}
}

// Guards against a rank that loses its floor when a flood of a more urgent rank
// begins, because it had run more calls than its floor before.
func TestGateKeepsFloorWhenFloodBegins(t *testing.T) {
	h := newGateHarness(Limits{Slots: 6, Connections: 110, Ranks: ranks})
	flood := func(steps int, rank *config.Rank) (served int) {
		for range steps {
			for h.gate.entryFor(rank).queue.length.Load() < 20 {
				_, _ = h.submit(rank, time.Hour)
			}
			_, _ = h.submit(normal, time.Hour)
			h.now = h.now.Add(20 * time.Millisecond / 6)
			if h.finish().Rank == normal {
				served++
			}
		}
		return served
	}
	flood(600, least)
	if served := flood(100, urgent); served < 18 {
		t.Errorf("%d of the first 100 calls served in a flood are of rank normal, want about its floor of 20", served)
	}
}

// Guards against a floor that keeps slots idle while its rank has no calls.
func TestGateUsesIdleFloors(t *testing.T) {
	h := newGateHarness(Limits{Slots: 6, Connections: 110, Ranks: ranks})
	for range 6 {
		if _, err := h.submit(least, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if len(h.running) != 6 {
		t.Fatalf("%d calls run, want 6 on 6 free slots", len(h.running))
	}
}

// Guards against queueing calls that cannot end by their deadline.
func TestGateRefusesLateCallsEarly(t *testing.T) {
	h := newGateHarness(Limits{Slots: 2, Connections: 100, Ranks: ranks})
	h.warm(urgent, 100*time.Millisecond)
	for range 6 {
		if _, err := h.submit(urgent, 320*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	_, err := h.submit(urgent, 340*time.Millisecond)
	var late *LateError
	if !errors.As(err, &late) || late.Service < 90*time.Millisecond || late.Wait < 200*time.Millisecond {
		t.Fatalf("got %v, want a *LateError behind 4 waiting calls of 100 ms each", err)
	}
	if _, err = h.submit(urgent, 370*time.Millisecond); err != nil {
		t.Fatalf("a call that can end by its deadline was refused: %v", err)
	}
}

// Guards against running a call whose deadline passed while it waited.
func TestGateRefusesExpiredCalls(t *testing.T) {
	h := newGateHarness(Limits{Slots: 1, Connections: 10, Ranks: ranks})
	_, _ = h.submit(urgent, time.Second)
	waiting, err := h.submit(urgent, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	h.now = h.now.Add(60 * time.Millisecond)
	h.finish()
	var late *LateError
	if !errors.As(h.refused[waiting], &late) || len(h.running) != 0 {
		t.Fatalf("outcome %v, want a *LateError; %d calls run, want 0", h.refused[waiting], len(h.running))
	}
}

// Guards against a slow period after which all calls are refused, because no
// call runs that could correct the estimated service time.
func TestGateRecoversFromSlowPeriod(t *testing.T) {
	h := newGateHarness(Limits{Slots: 1, Connections: 10, Ranks: ranks})
	h.warm(urgent, 5*time.Second)
	_, _ = h.submit(least, time.Minute)
	if _, err := h.submit(urgent, time.Second); err == nil {
		t.Fatal("a call with 1 s left was accepted although calls take 5 s")
	}
	h.now = h.now.Add(10 * time.Second)
	if _, err := h.submit(urgent, time.Second); err != nil {
		t.Fatalf("still refused after 10 s without a sample: %v", err)
	}
}

// Guards against an unbounded queue, and against a flood of the least urgent
// rank that fills the queue and keeps urgent calls out.
func TestGateBoundsQueue(t *testing.T) {
	h := newGateHarness(Limits{Slots: 2, Connections: 12, Ranks: ranks})
	var refused *OverloadedError
	for range 50 {
		_, err := h.submit(least, time.Second)
		if err != nil && !errors.As(err, &refused) {
			t.Fatal(err)
		}
	}
	if r := h.gate.Report(); r.Running != 2 || r.Waiting != 10 || refused == nil {
		t.Fatalf("report %+v, want 2 running and 10 waiting; refused with %v", r, refused)
	}
	if _, err := h.submit(urgent, time.Second); err != nil {
		t.Fatalf("an urgent call was refused by a queue of less urgent ones: %v", err)
	}
	if r := h.gate.Report(); r.Waiting != 10 || len(h.refused) != 1 {
		t.Fatalf("report %+v and %d calls evicted, want 10 waiting and 1 evicted", r, len(h.refused))
	}
	for range 50 {
		_, _ = h.submit(urgent, time.Second)
	}
	if n := h.gate.entryFor(least).queue.length.Load(); n != 1 {
		t.Fatalf("%d calls of the least urgent rank wait, its floor is 1 of 10 places", n)
	}
}

// Guards against leaked or doubly granted slots under random operations.
func TestGateAccounting(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := newGateHarness(Limits{Slots: 3, Connections: 20, Ranks: ranks})
	var waiting []*Ticket
	for range 20000 {
		switch rng.IntN(4) {
		case 0, 1:
			ticket, err := h.submit(ranks[rng.IntN(3)], time.Duration(rng.IntN(2000))*time.Millisecond)
			if err == nil {
				waiting = append(waiting, ticket)
			}
		case 2:
			if len(h.running) > 0 {
				h.finish()
			}
		case 3:
			if len(waiting) > 0 {
				h.gate.Cancel(waiting[rng.IntN(len(waiting))])
			}
			h.gate.Configure(h.now, Limits{Slots: 2 + rng.IntN(3), Connections: 20, Ranks: ranks})
		}
		h.now = h.now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		if r := h.gate.Report(); r.Running != len(h.running) || r.Running > 4 || r.Waiting < 0 || r.Waiting > 18 {
			t.Fatalf("report %+v, but %d calls run; want at most 4 running and 18 waiting", r, len(h.running))
		}
	}
	for len(h.running) > 0 {
		h.finish()
	}
	if r := h.gate.Report(); r.Running != 0 || r.Waiting != 0 {
		t.Fatalf("report %+v after all calls ended", r)
	}
}
