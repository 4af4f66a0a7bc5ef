package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/instance"
)

// Guards against a call that reaches a region which its route does not allow or an
// evacuated zone, on any attempt and with any observations of the instances.
func TestChoiceStaysInAllowedRegionsAndOutOfEvacuatedZones(t *testing.T) {
	regions := []string{"r1", "r2", "r3"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		c := NewChooser()
		var all []*instance.Instance
		for n := range rapid.IntRange(0, 8).Draw(t, "instances") {
			all = append(all, &instance.Instance{
				ID: fmt.Sprint("i", n), Service: "s", Addr: fmt.Sprint("10.0.0.", n, ":1"), Zone: fmt.Sprint("z", n%4), Slots: 4,
				Region:    rapid.SampledFrom(regions).Draw(t, "region"),
				State:     rapid.SampledFrom([]instance.State{instance.Ready, instance.Draining}).Draw(t, "state"),
				Evacuated: rapid.Bool().Draw(t, "evacuated"),
			})
		}
		q := Query{
			Candidates: all, Zone: "z0", Region: "r1", LocalAddr: "10.0.0.0:1", Target: time.Second, Rand: rand.New(rand.NewPCG(1, 2)),
			AllowedRegions: rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID[string]).Draw(t, "allowed"),
		}
		for {
			choice, ok := c.Choose(now, q)
			if !ok {
				break
			}
			i := choice.Instance
			if !q.AllowedRegions.Allows(i.Region) || i.Evacuated || i.State != instance.Ready {
				t.Fatalf("chose %+v, allowed regions %v", i, q.AllowedRegions)
			}
			c.Start(now, i)
			c.Finish(now, i, Outcome{Kind: rapid.SampledFrom([]OutcomeKind{Refused, NodeDown, Unreachable, LinkBusy}).Draw(t, "outcome")})
			q.Exclude = append(q.Exclude, i.ID)
		}
		for _, i := range all {
			if i.Serves(now) && q.AllowedRegions.Allows(i.Region) && !q.excluded(i.ID) {
				t.Fatalf("did not choose %+v", i)
			}
		}
	})
}

// Guards against an unknown cause of a refusal in logs and metrics.
func TestUnavailableCause(t *testing.T) {
	ready := func(region string, evacuated bool) *instance.Instance {
		return &instance.Instance{Region: region, Evacuated: evacuated}
	}
	for _, c := range []struct {
		instances []*instance.Instance
		want      Cause
	}{
		{nil, CauseNone},
		{[]*instance.Instance{{Region: "r1", State: instance.Gone}}, CauseNone},
		{[]*instance.Instance{ready("r2", false)}, CauseRegion},
		{[]*instance.Instance{ready("r2", true)}, CauseNone},
		{[]*instance.Instance{ready("r1", true), ready("r2", false)}, CauseEvacuated},
	} {
		q := Query{Candidates: c.instances, AllowedRegions: config.RegionSet{"r1"}}
		if got := UnavailableCause(time.Now(), &q); got != c.want {
			t.Errorf("%+v: got cause %d, want %d", c.instances, got, c.want)
		}
	}
}

// Guards against senders that flood the cold instances of a zone that has come back:
// in a service with room elsewhere, each gets about what its limit lets it serve.
func TestColdInstancesGetCallsByTheirLimit(t *testing.T) {
	const coldRate, serviceTime = 10.0, 100 * time.Millisecond
	now := time.Now()
	c := NewChooser()
	var all []*instance.Instance
	for n := range 8 {
		i := &instance.Instance{ID: fmt.Sprint("i", n), Service: "s", Addr: fmt.Sprint("10.0.0.", n, ":1"), Zone: "z", Region: "r", Slots: 10}
		if n < 2 {
			i.ColdUntil = now.Add(time.Minute)
		}
		all = append(all, i)
		c.Start(now, i)
		c.Finish(now, i, Outcome{Kind: Completed, ServiceTime: serviceTime, Load: &Load{Slots: 10}})
	}
	// Calls arrive at half of the capacity of the six warm instances. Each runs for the
	// service time at the instance that was chosen.
	rng := rand.New(rand.NewPCG(1, 2))
	type running struct {
		ends time.Time
		at   *instance.Instance
	}
	var calls []running
	started := map[string]int{}
	const interval, seconds = time.Second / 300, 10
	for n := range seconds * 300 {
		at := now.Add(time.Duration(n) * interval)
		for len(calls) > 0 && !calls[0].ends.After(at) {
			c.Finish(at, calls[0].at, Outcome{Kind: Completed, ServiceTime: serviceTime})
			calls = calls[1:]
		}
		choice, _ := c.Choose(at, Query{Candidates: all, Zone: "z", Region: "r", Target: time.Second, ColdCallsPerSecond: coldRate, Rand: rng})
		c.Start(at, choice.Instance)
		started[choice.Instance.ID]++
		calls = append(calls, running{ends: at.Add(serviceTime), at: choice.Instance})
	}
	for _, i := range all[:2] {
		if perSecond := float64(started[i.ID]) / seconds; perSecond > 1.5*coldRate {
			t.Errorf("cold instance %s got %.1f calls per second, want at most 1.5 times its limit of %.0f", i.ID, perSecond, coldRate)
		}
	}
}

// Guards against calls that fill the links between regions in an overload of all
// regions, and against calls that stay in a full region while another one has room.
func TestCallsLeaveTheRegionOnlyForMuchLessWaiting(t *testing.T) {
	const target, serviceTime = 500 * time.Millisecond, 100 * time.Millisecond
	for _, c := range []struct {
		name           string
		nearCalls, far int
		want           string
	}{
		{"both are full", 60, 50, "near"},
		{"the other region has room", 60, 2, "far"},
		{"the own region is fast enough", 5, 0, "near"},
	} {
		now, chooser := time.Now(), NewChooser()
		chooser.ObserveRoundTrip("z2", 60*time.Millisecond)
		var all []*instance.Instance
		for region, calls := range map[string]int{"near": c.nearCalls, "far": c.far} {
			i := &instance.Instance{ID: region, Service: "s", Addr: region + ":1", Zone: map[string]string{"near": "z1", "far": "z2"}[region], Region: region, Slots: 10}
			all = append(all, i)
			for range 20 {
				chooser.Start(now, i)
				chooser.Finish(now, i, Outcome{Kind: Completed, ServiceTime: serviceTime, Load: &Load{Slots: 10, Running: min(calls, 10), Waiting: max(calls-10, 0)}})
			}
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 100 {
			choice, _ := chooser.Choose(now, Query{Candidates: all, Zone: "z1", Region: "near", LocalAddr: "", Target: target, Rand: rng})
			if choice.Instance.ID != c.want {
				t.Errorf("%s: chose the %s instance, expected to take %s", c.name, choice.Instance.ID, choice.Expected)
				break
			}
		}
	}
}
