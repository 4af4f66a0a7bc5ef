package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

var start = time.Unix(1_700_000_000, 0)

// pickFunc is Picker.Pick or pickRandom.
type pickFunc func(now time.Time, q Query) (Decision, error)

// pickRandom is the baseline: it picks a random member in the nearest scope and
// ignores leaving, suspect, joining and excluded members. Every scenario must fail
// with it.
func pickRandom(_ time.Time, q Query) (Decision, error) {
	var byScope [3][]member.Member
	for _, m := range q.View.Service(q.Service) {
		if m.Status != member.Leaving && m.Status != member.Suspect && !q.Exclude[m.VM] && m.Boot != 0 {
			scope := scopeIndex(&q.Self, &m)
			byScope[scope] = append(byScope[scope], m)
		}
	}
	for i, scope := range scopes {
		if n := len(byScope[i]); n > 0 {
			return Decision{Member: byScope[i][q.Rand.IntN(n)], Scope: scope}, nil
		}
	}
	return Decision{}, &NoUpstreamError{Service: q.Service}
}

// pickerHarness holds a member table with upstreams and the picker under test.
type pickerHarness struct {
	picker *Picker
	pick   pickFunc
	now    time.Time
	table  *member.Table
	query  Query
	byVM   map[string]member.Member
}

func newHarness(random bool, members ...member.Member) *pickerHarness {
	h := &pickerHarness{picker: NewPicker(), now: start, table: member.NewTable(), byVM: map[string]member.Member{}}
	h.pick = h.picker.Pick
	if random {
		h.pick = pickRandom
	}
	for _, m := range members {
		h.put(m)
	}
	h.query = Query{
		Self: member.Member{VM: "self", Zone: "a1", Region: "a"}, Service: "s", Worth: 1,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}
	return h
}

func (h *pickerHarness) put(m member.Member) {
	h.byVM[m.VM] = m
	h.table.Apply(h.now, m)
}

func vm(name, zone string, age time.Duration) member.Member {
	return member.Member{
		VM: name, Zone: zone, Region: zone[:1], Service: "s", Boot: uint64(start.Add(-age).UnixMilli()), CallAddr: name,
	}
}

// run makes calls 10 ms apart and counts them by VM, or under "none" if no
// upstream was picked; behave returns the result of a call.
func (h *pickerHarness) run(t *testing.T, calls int, behave func(vm string) Result) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range calls {
		h.query.View = h.table.View(h.now)
		d, err := h.pick(h.now, h.query)
		if err != nil {
			counts["none"]++
		} else {
			counts[d.Member.VM]++
			h.picker.Start(h.now, d.Member)
			h.picker.Finish(h.now.Add(5*time.Millisecond), d.Member, behave(d.Member.VM))
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	return counts
}

func completed(latency time.Duration, r *LoadReport) Result {
	return Result{Outcome: OutcomeCompleted, Latency: latency, Report: r}
}

// scenario is one failure. check returns an error if the picker handles it
// wrongly; with random it tests pickRandom instead.
type scenario struct {
	name  string
	check func(t *testing.T, random bool) error
}

// warmAge is the age of an upstream whose slow start is over.
const warmAge = time.Hour

func twoUpstreams() []member.Member {
	return []member.Member{vm("x", "a1", warmAge), vm("y", "a1", warmAge)}
}

// checkCallsToX checks that x gets at most maxCalls of 1000 calls if calls to x
// end with resultOfX and calls to y succeed.
func checkCallsToX(maxCalls int, resultOfX func() Result) func(t *testing.T, random bool) error {
	return func(t *testing.T, random bool) error {
		h := newHarness(random, twoUpstreams()...)
		counts := h.run(t, 1000, func(vm string) Result {
			if vm == "x" {
				return resultOfX()
			}
			return completed(10*time.Millisecond, &LoadReport{Running: 3, Slots: 6})
		})
		if counts["x"] > maxCalls || counts["none"] > 0 {
			return fmt.Errorf("calls by VM: %v, want at most %d on x and 0 under \"none\"", counts, maxCalls)
		}
		return nil
	}
}

func checkColdStart(zoneOfY string) func(t *testing.T, random bool) error {
	return func(t *testing.T, random bool) error { return checkSlowStart(t, random, zoneOfY) }
}

func checkSlowStart(t *testing.T, random bool, zoneOfY string) error {
	h := newHarness(random, vm("x", "a1", 0), vm("y", zoneOfY, warmAge))
	served := func(string) Result { return completed(10*time.Millisecond, nil) }
	early := h.run(t, 200, served)
	h.now = start.Add(20 * time.Second)
	later := h.run(t, 1000, served)
	if early["x"] > 50 || early["x"] == 0 || later["x"] < 300 {
		return fmt.Errorf("calls to cold x: %d of the first 200, want 1 to 50; %d of 1000 after the ramp, want at least 300", early["x"], later["x"])
	}
	return nil
}

func checkStalled(t *testing.T, random bool) error {
	h := newHarness(random, twoUpstreams()...)
	for range 6 {
		h.picker.Start(h.now, h.byVM["x"])
	}
	h.now = h.now.Add(1100 * time.Millisecond)
	counts := h.run(t, 100, func(string) Result { return completed(10*time.Millisecond, nil) })
	if counts["x"] > 0 {
		return fmt.Errorf("%d calls to x, which accepted 6 calls and responded to none; want 0", counts["x"])
	}
	return nil
}

func checkLeaving(source LeaveSource) func(t *testing.T, random bool) error {
	return func(t *testing.T, random bool) error {
		h := newHarness(random, twoUpstreams()...)
		if source == LeaveResponse {
			h.picker.Finish(h.now, h.byVM["x"], completed(time.Millisecond, &LoadReport{Leaving: true}))
		} else {
			h.picker.ObserveLeaving(h.now, "x", h.byVM["x"].Boot, source)
		}
		counts := h.run(t, 200, func(string) Result { return completed(10*time.Millisecond, nil) })
		if counts["x"] > 0 {
			return fmt.Errorf("%d new calls to x after its leave notice, want 0", counts["x"])
		}
		restarted := h.byVM["x"]
		restarted.Boot = uint64(h.now.UnixMilli())
		h.put(restarted)
		h.now = h.now.Add(20 * time.Second)
		if counts = h.run(t, 200, func(string) Result { return completed(10*time.Millisecond, nil) }); counts["x"] == 0 {
			return fmt.Errorf("no call to x after its VM started a new process")
		}
		return nil
	}
}

func checkCrossRegionCost(t *testing.T, random bool) error {
	h := newHarness(random, vm("far", "b1", warmAge))
	h.query.Bytes = 4 << 20
	counts := h.run(t, 10, func(string) Result { return completed(time.Millisecond, nil) })
	h.query.Bytes = 1 << 10
	small := h.run(t, 10, func(string) Result { return completed(time.Millisecond, nil) })
	if counts["none"] != 10 || small["far"] != 10 {
		return fmt.Errorf("4 MiB calls by VM: %v, want 10 under \"none\"; 1 KiB calls by VM: %v, want 10 on far", counts, small)
	}
	return nil
}

func checkZoneDown(t *testing.T, random bool) error {
	h := newHarness(random, vm("x", "a1", warmAge), vm("z", "a2", warmAge), vm("far", "b1", warmAge))
	counts := h.run(t, 1000, func(vm string) Result {
		if vm == "x" {
			return Result{Outcome: OutcomeFailed}
		}
		return completed(10*time.Millisecond, nil)
	})
	if counts["x"] > 20 || counts["z"] < 980 || counts["far"] > 0 {
		return fmt.Errorf("calls by VM: %v, want at most 20 on x, at least 980 on z and none on far", counts)
	}
	return nil
}

func checkRecovery(t *testing.T, random bool) error {
	h := newHarness(random, twoUpstreams()...)
	broken := true
	behave := func(vm string) Result {
		if vm == "x" && broken {
			return Result{Outcome: OutcomeFailed}
		}
		return completed(10*time.Millisecond, nil)
	}
	down := h.run(t, 500, behave)
	broken = false
	h.now = h.now.Add(15 * time.Second)
	up := h.run(t, 500, behave)
	if down["x"] > 20 || up["x"] < 100 {
		return fmt.Errorf("calls to x: %d while down, want at most 20; %d after recovery, want at least 100", down["x"], up["x"])
	}
	return nil
}

// Each scenario guards against one kind of failure in the fleet. It must fail
// with pickRandom, or else it would not test the picker.
func TestPickerFailures(t *testing.T) {
	report := func(r LoadReport) *LoadReport { return &r }
	scenarios := []scenario{
		{"dead VM still in the VM list", checkCallsToX(20, func() Result { return Result{Outcome: OutcomeFailed} })},
		{"accepts calls without a response, calls time out", checkCallsToX(10, func() Result { return Result{Outcome: OutcomeNoResponse} })},
		{"accepts calls without a response, calls hang", checkStalled},
		{"refuses but reports no load", checkCallsToX(150, func() Result {
			return Result{Outcome: OutcomeRefused, Report: report(LoadReport{Slots: 6})}
		})},
		{"slow but reports no load", checkCallsToX(150, func() Result { return completed(200*time.Millisecond, report(LoadReport{Slots: 6})) })},
		{"reports a high load", checkCallsToX(150, func() Result {
			return completed(10*time.Millisecond, report(LoadReport{Running: 6, Waiting: 30, Slots: 6}))
		})},
		{"cold start", checkColdStart("a1")},
		{"cold start of the only upstream in the zone", checkColdStart("a2")},
		{"leave notice in the VM list", checkLeaving(LeaveVMList)},
		{"leave notice in a response", checkLeaving(LeaveResponse)},
		{"leave notice of the upstream", checkLeaving(LeaveUpstream)},
		{"zone down", checkZoneDown},
		{"another region only if the call's worth covers its bytes", checkCrossRegionCost},
		{"recovery after a failure", checkRecovery},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.check(t, true); err == nil {
				t.Error("pickRandom passes, so the scenario does not test the picker")
			}
			if err := s.check(t, false); err != nil {
				t.Error(err)
			}
		})
	}
}

// BenchmarkPick measures a pick among 20 upstreams, the mean number per service
// in a fleet of 7,300 servers and 360 services.
func BenchmarkPick(b *testing.B) {
	h := newHarness(false)
	for i := range 20 {
		h.put(vm(fmt.Sprint("vm", i), fmt.Sprintf("%c%d", 'a'+i%3, i%4), warmAge))
	}
	h.query.View = h.table.View(h.now)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.picker.Pick(h.now, h.query); err != nil {
			b.Fatal(err)
		}
	}
}
