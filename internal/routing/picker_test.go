package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

var start = time.Unix(1_700_000_000, 0)

// chooser is a Picker or the random choice that it replaced.
type chooser func(now time.Time, q Query) (Decision, error)

// randomChoice is the earlier choice: any member in the nearest scope that is
// neither leaving nor suspect. The scenarios must tell the two apart.
func randomChoice(_ time.Time, q Query) (Decision, error) {
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

// world is a view with upstreams and the picker under test.
type world struct {
	picker *Picker
	choose chooser
	now    time.Time
	table  *member.Table
	query  Query
	byVM   map[string]member.Member
}

func newWorld(random bool, members ...member.Member) *world {
	w := &world{picker: NewPicker(), now: start, table: member.NewTable(), byVM: map[string]member.Member{}}
	w.choose = w.picker.Pick
	if random {
		w.choose = randomChoice
	}
	for _, m := range members {
		w.put(m)
	}
	w.query = Query{
		Self: member.Member{VM: "self", Zone: "a1", Region: "a"}, Service: "s", Worth: 1,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}
	return w
}

func (w *world) put(m member.Member) {
	w.byVM[m.VM] = m
	w.table.Apply(w.now, m)
}

func vm(name, zone string, age time.Duration) member.Member {
	return member.Member{
		VM: name, Zone: zone, Region: zone[:1], Service: "s", Boot: uint64(start.Add(-age).UnixMilli()), CallAddr: name,
	}
}

// run makes calls 10 ms apart and counts them by VM; behave tells how each
// upstream ends a call.
func (w *world) run(t *testing.T, calls int, behave func(vm string) Result) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range calls {
		w.query.View = w.table.View(w.now)
		d, err := w.choose(w.now, w.query)
		if err != nil {
			counts["none"]++
		} else {
			counts[d.Member.VM]++
			w.picker.Start(w.now, d.Member)
			w.picker.Finish(w.now.Add(5*time.Millisecond), d.Member, behave(d.Member.VM))
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	return counts
}

func answered(latency time.Duration, r *LoadReport) Result {
	return Result{Outcome: OutcomeCompleted, Latency: latency, Report: r}
}

// scenario is one failure; check returns why the choice handles it wrongly.
type scenario struct {
	name  string
	check func(t *testing.T, random bool) error
}

const warm = time.Hour

func pair() []member.Member { return []member.Member{vm("x", "a1", warm), vm("y", "a1", warm)} }

// share runs calls on x and y where x misbehaves and checks x's calls.
func share(most int, x func() Result) func(t *testing.T, random bool) error {
	return func(t *testing.T, random bool) error {
		w := newWorld(random, pair()...)
		counts := w.run(t, 1000, func(vm string) Result {
			if vm == "x" {
				return x()
			}
			return answered(10*time.Millisecond, &LoadReport{Running: 3, Slots: 6})
		})
		if counts["x"] > most || counts["none"] > 0 {
			return fmt.Errorf("calls by VM: %v, want at most %d on x", counts, most)
		}
		return nil
	}
}

func checkBoot(zoneOfOther string) func(t *testing.T, random bool) error {
	return func(t *testing.T, random bool) error { return checkRamp(t, random, zoneOfOther) }
}

func checkRamp(t *testing.T, random bool, zoneOfOther string) error {
	w := newWorld(random, vm("x", "a1", 0), vm("y", zoneOfOther, warm))
	served := func(string) Result { return answered(10*time.Millisecond, nil) }
	first := w.run(t, 200, served)
	w.now = start.Add(20 * time.Second)
	later := w.run(t, 1000, served)
	if first["x"] > 50 || first["x"] == 0 || later["x"] < 300 {
		return fmt.Errorf("%d of the first 200 calls and %d of 1000 after the ramp on the cold x", first["x"], later["x"])
	}
	return nil
}

func checkStalled(t *testing.T, random bool) error {
	w := newWorld(random, pair()...)
	for range 6 {
		w.picker.Start(w.now, w.byVM["x"])
	}
	w.now = w.now.Add(1100 * time.Millisecond)
	counts := w.run(t, 100, func(string) Result { return answered(10*time.Millisecond, nil) })
	if counts["x"] > 0 {
		return fmt.Errorf("%d calls on an upstream that has accepted 6 and answered none", counts["x"])
	}
	return nil
}

func checkLeaving(source LeaveSource) func(t *testing.T, random bool) error {
	return func(t *testing.T, random bool) error {
		w := newWorld(random, pair()...)
		if source == LeaveAnswer {
			w.picker.Finish(w.now, w.byVM["x"], answered(time.Millisecond, &LoadReport{Leaving: true}))
		} else {
			w.picker.ObserveLeaving(w.now, "x", w.byVM["x"].Boot, source)
		}
		counts := w.run(t, 200, func(string) Result { return answered(10*time.Millisecond, nil) })
		if counts["x"] > 0 {
			return fmt.Errorf("%d new calls after the sign", counts["x"])
		}
		restarted := w.byVM["x"]
		restarted.Boot = uint64(w.now.UnixMilli())
		w.put(restarted)
		w.now = w.now.Add(20 * time.Second)
		if counts = w.run(t, 200, func(string) Result { return answered(10*time.Millisecond, nil) }); counts["x"] == 0 {
			return fmt.Errorf("no call after the VM's next process started")
		}
		return nil
	}
}

func checkRemote(t *testing.T, random bool) error {
	w := newWorld(random, vm("far", "b1", warm))
	w.query.Bytes = 4 << 20
	counts := w.run(t, 10, func(string) Result { return answered(time.Millisecond, nil) })
	w.query.Bytes = 1 << 10
	small := w.run(t, 10, func(string) Result { return answered(time.Millisecond, nil) })
	if counts["none"] != 10 || small["far"] != 10 {
		return fmt.Errorf("4 MiB calls: %v, 1 KiB calls: %v", counts, small)
	}
	return nil
}

func checkZoneDown(t *testing.T, random bool) error {
	w := newWorld(random, vm("x", "a1", warm), vm("z", "a2", warm), vm("far", "b1", warm))
	counts := w.run(t, 1000, func(vm string) Result {
		if vm == "x" {
			return Result{Outcome: OutcomeFailed}
		}
		return answered(10*time.Millisecond, nil)
	})
	if counts["x"] > 20 || counts["z"] < 980 || counts["far"] > 0 {
		return fmt.Errorf("calls by VM: %v", counts)
	}
	return nil
}

func checkRecovery(t *testing.T, random bool) error {
	w := newWorld(random, pair()...)
	broken := true
	behave := func(vm string) Result {
		if vm == "x" && broken {
			return Result{Outcome: OutcomeFailed}
		}
		return answered(10*time.Millisecond, nil)
	}
	down := w.run(t, 500, behave)
	broken = false
	w.now = w.now.Add(15 * time.Second)
	up := w.run(t, 500, behave)
	if down["x"] > 20 || up["x"] < 100 {
		return fmt.Errorf("%d calls while down, %d after", down["x"], up["x"])
	}
	return nil
}

// Each scenario guards against one failure of the fleet, and must fail under
// the random choice that the picker replaced.
func TestPickerFailures(t *testing.T) {
	report := func(r LoadReport) *LoadReport { return &r }
	scenarios := []scenario{
		{"the VM list still names a dead VM", share(20, func() Result { return Result{Outcome: OutcomeFailed} })},
		{"accepts and never answers, calls end", share(10, func() Result { return Result{Outcome: OutcomeNoResponse} })},
		{"accepts and never answers, calls hang", checkStalled},
		{"refuses but reports no load", share(150, func() Result {
			return Result{Outcome: OutcomeRefused, Report: report(LoadReport{Slots: 6})}
		})},
		{"slow but reports no load", share(150, func() Result { return answered(200*time.Millisecond, report(LoadReport{Slots: 6})) })},
		{"reports a high load", share(150, func() Result {
			return answered(10*time.Millisecond, report(LoadReport{Running: 6, Waiting: 30, Slots: 6}))
		})},
		{"cold start", checkBoot("a1")},
		{"cold start of the only upstream in the zone", checkBoot("a2")},
		{"leaving by the VM list", checkLeaving(LeaveVMList)},
		{"leaving by an answer", checkLeaving(LeaveAnswer)},
		{"leaving by the upstream", checkLeaving(LeaveUpstream)},
		{"zone down", checkZoneDown},
		{"another region only when worth its bytes", checkRemote},
		{"back after a failure", checkRecovery},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.check(t, true); err == nil {
				t.Error("the random choice passes; the scenario proves nothing")
			}
			if err := s.check(t, false); err != nil {
				t.Error(err)
			}
		})
	}
}

// BenchmarkPick measures a choice among 20 upstreams, the mean at 7,300
// servers and 360 services.
func BenchmarkPick(b *testing.B) {
	w := newWorld(false)
	for i := range 20 {
		w.put(vm(fmt.Sprint("vm", i), fmt.Sprintf("%c%d", 'a'+i%3, i%4), warm))
	}
	w.query.View = w.table.View(w.now)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := w.picker.Pick(w.now, w.query); err != nil {
			b.Fatal(err)
		}
	}
}
