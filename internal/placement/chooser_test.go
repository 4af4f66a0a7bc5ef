package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func inst(id, zone, region string) *instance.Instance {
	return &instance.Instance{ID: id, Service: "s", Addr: id, Zone: zone, Region: region, Slots: 6, State: instance.Ready}
}

func query(candidates ...*instance.Instance) Query {
	return Query{Candidates: candidates, Zone: "z1", Region: "r1", Target: 500 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 2))}
}

// observe records answers that ran for a time at an instance under a load.
func observe(c *Chooser, now time.Time, i *instance.Instance, ran time.Duration, load int) {
	for range 30 {
		c.Start(now, i)
		c.Finish(now, i, Outcome{Kind: Completed, ServiceTime: ran, Load: &Load{Running: min(load, 6), Waiting: max(load-6, 0), Slots: 6}})
	}
}

// shares returns how often each instance is chosen in a hundred calls.
func shares(c *Chooser, now time.Time, q Query) map[string]int {
	out := map[string]int{}
	for range 100 {
		if choice, ok := c.Choose(now, q); ok {
			out[choice.Instance.ID]++
		}
	}
	return out
}

// Guards against calls that cross regions although a near upstream answers well
// within the target, and against calls that stay near an overloaded one. It
// answers fleets whose servers differ in speed by a factor of two.
func TestNearIsEnough(t *testing.T) {
	near, far := inst("near", "z1", "r1"), inst("far", "z9", "r2")
	c := NewChooser()
	observe(c, start, near, 170*time.Millisecond, 3)
	observe(c, start, far, 60*time.Millisecond, 3)
	if got := shares(c, start, query(near, far)); got["near"] != 100 {
		t.Errorf("within the target: %v", got)
	}
	observe(c, start, near, 170*time.Millisecond, 30)
	if got := shares(c, start, query(near, far)); got["far"] != 100 {
		t.Errorf("overloaded: %v", got)
	}
}

// Guards against large answers that cross zones while the own zone serves.
func TestLargeAnswersStayInTheZone(t *testing.T) {
	own, sibling := inst("own", "z1", "r1"), inst("sibling", "z2", "r1")
	c := NewChooser()
	observe(c, start, own, 70*time.Millisecond, 2)
	observe(c, start, sibling, 40*time.Millisecond, 2)
	q := query(own, sibling)
	if got := shares(c, start, q); got["sibling"] < 90 {
		t.Errorf("small answers: %v", got)
	}
	q.Bytes = 90 << 10
	if got := shares(c, start, q); got["own"] != 100 {
		t.Errorf("large answers: %v", got)
	}
}

// Guards against calls for an upstream that fails, and against one that stays
// out after it has recovered.
func TestFailingUpstreamIsTakenOutForATime(t *testing.T) {
	bad, good := inst("bad", "z1", "r1"), inst("good", "z1", "r1")
	c := NewChooser()
	observe(c, start, bad, 50*time.Millisecond, 1)
	observe(c, start, good, 50*time.Millisecond, 1)
	c.Start(start, bad)
	c.Finish(start, bad, Outcome{Kind: ConnectionBroken})
	q := query(bad, good)
	if got := shares(c, start, q); got["bad"] > 0 {
		t.Errorf("after a failure: %v", got)
	}
	if got := shares(c, start.Add(10*time.Second), q); got["bad"] == 0 {
		t.Errorf("ten seconds later: %v", got)
	}
}

// Guards against upstreams that fail part of their calls (grey) and get as many
// as sound ones.
func TestGreyUpstreamGetsLess(t *testing.T) {
	grey, good := inst("grey", "z1", "r1"), inst("good", "z1", "r1")
	c := NewChooser()
	for n := range 60 {
		kind := Completed
		if n%2 == 0 {
			kind = Shed
		}
		c.Start(start, grey)
		c.Finish(start, grey, Outcome{Kind: kind, ServiceTime: 50 * time.Millisecond})
	}
	observe(c, start, good, 50*time.Millisecond, 3)
	if got := shares(c, start, query(grey, good)); got["grey"] > 0 {
		t.Errorf("got %v", got)
	}
}

// Guards against new upstreams that are never tried.
func TestUnknownUpstreamIsTried(t *testing.T) {
	known, fresh := inst("known", "z1", "r1"), inst("fresh", "z1", "r1")
	c := NewChooser()
	observe(c, start, known, 50*time.Millisecond, 2)
	if got := shares(c, start, query(known, fresh)); got["fresh"] < 50 {
		t.Errorf("got %v", got)
	}
}

// Guards against work for upstreams that leave, and against a choice when none
// is left.
func TestLeavingUpstreamIsNoCandidate(t *testing.T) {
	leaving := inst("leaving", "z1", "r1")
	leaving.State = instance.Draining
	if choice, ok := NewChooser().Choose(start, query(leaving)); ok {
		t.Errorf("got %+v", choice)
	}
}

// Guards against calls that pay for finding out whether a lost node is back: of
// a fleet of 85 VMs, 14 went dark for three seconds, and each call placed there
// hung until its time limit.
func TestLostInstanceGetsNoCallUntilItIsBack(t *testing.T) {
	a, b := inst("a", "z1", "r1"), inst("b", "z1", "r1")
	c := NewChooser()
	observe(c, start, a, 100*time.Millisecond, 1)
	observe(c, start, b, 100*time.Millisecond, 1)
	c.Start(start, a)
	c.Finish(start, a, Outcome{Kind: NodeDown})
	later := start.Add(30 * time.Second)
	if got := shares(c, later, query(a, b)); got["a"] != 0 {
		t.Errorf("while lost: %v", got)
	}
	c.ObserveRecovery(later, a)
	if got := shares(c, later.Add(5*time.Second), query(a, b)); got["a"] == 0 {
		t.Errorf("after the return: %v", got)
	}
}
