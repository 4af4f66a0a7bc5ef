package routing

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Guards against a health endpoint that wrongly reports a fault and takes a
// working upstream out, and against a wrong load report that does so.
func TestPickerDistrustsEndpoints(t *testing.T) {
	w := newWorld(false, pair()...)
	counts := w.run(t, 500, func(vm string) Result {
		w.picker.ObserveHealth(w.now, "x", false)
		return answered(map[string]time.Duration{"x": 10, "y": 100}[vm]*time.Millisecond, nil)
	})
	if counts["x"] < 250 {
		t.Errorf("calls by VM %v: a health report outweighs own observations", counts)
	}
}

// Guards against sending calls between regions when the own region is busy,
// and against refusing all calls when every upstream looks broken.
func TestPickerLastChoices(t *testing.T) {
	w := newWorld(false, vm("x", "a1", warm), vm("far", "b1", warm))
	busy := w.run(t, 200, func(string) Result { return Result{Outcome: OutcomeRefused} })
	if busy["x"] != 200 {
		t.Errorf("busy region: %v", busy)
	}
	w = newWorld(false, vm("x", "a1", warm))
	if all := w.run(t, 200, func(string) Result { return Result{Outcome: OutcomeFailed} }); all["none"] > 0 {
		t.Errorf("the only upstream is not tried: %v", all)
	}
	leaving := vm("x", "a1", warm)
	leaving.Status = member.Leaving
	w = newWorld(false, leaving)
	w.query.View = w.table.View(w.now)
	_, err := w.choose(w.now, w.query)
	var none *NoUpstreamError
	if !errors.As(err, &none) || none.LeftOut.Leaving != 1 {
		t.Errorf("got %v", err)
	}
}

// Guards against urgent calls leaving their region because calls of the least
// urgent rank are refused there during a flood.
func TestPickerCountsRefusalsByRank(t *testing.T) {
	w := newWorld(false, vm("x", "a1", warm), vm("far", "b1", warm))
	w.query.Worth = 100
	for range 100 {
		w.picker.Finish(w.now, w.byVM["x"], Result{Outcome: OutcomeRefused, Order: 2})
	}
	w.query.Order = 2
	if flooded := w.run(t, 1, func(string) Result { return Result{Outcome: OutcomeCanceled} }); flooded["far"] != 1 {
		t.Errorf("least urgent rank: %v", flooded)
	}
	w.query.Order = 0
	if urgent := w.run(t, 1, func(string) Result { return Result{Outcome: OutcomeCanceled} }); urgent["x"] != 1 {
		t.Errorf("urgent rank: %v", urgent)
	}
}

// Guards against retries that return to an upstream that was tried, and
// against taking a region for down because its upstreams were tried.
func TestPickerExcludesTriedUpstreams(t *testing.T) {
	w := newWorld(false, vm("x", "a1", warm), vm("far", "b1", warm))
	w.query.Exclude = map[string]bool{"x": true}
	w.query.Bytes = 100 << 10
	served := func(string) Result { return answered(time.Millisecond, nil) }
	if tried := w.run(t, 1, served); tried["none"] != 1 {
		t.Errorf("x was tried and works: %v", tried)
	}
	for range 3 {
		w.picker.Finish(w.now, w.byVM["x"], Result{Outcome: OutcomeFailed})
	}
	if down := w.run(t, 1, served); down["far"] != 1 {
		t.Errorf("x was tried and is down: %v", down)
	}
	w.query.Bytes = 10 << 20
	if down := w.run(t, 1, served); down["none"] != 1 {
		t.Errorf("x was tried, is down and no other upstream is worth the bytes: %v", down)
	}
}

// Guards against new work for an upstream that takes longer to leave than one
// sign is remembered, while signs keep coming.
func TestPickerRemembersRepeatedLeaving(t *testing.T) {
	w := newWorld(false, pair()...)
	for range 3 {
		w.picker.ObserveLeaving(w.now, "x", w.byVM["x"].Boot, LeaveVMList)
		w.now = w.now.Add(40 * time.Second)
	}
	if source, leaving := w.picker.Leaving(w.now, "x"); !leaving || source != LeaveVMList {
		t.Errorf("leaving %t by %q", leaving, source)
	}
	counts := w.run(t, 100, func(string) Result { return answered(time.Millisecond, nil) })
	if counts["x"] > 0 {
		t.Errorf("calls by VM: %v", counts)
	}
}

// Guards against races between choices and observations, and against calls
// that stay counted as outstanding.
func TestPickerConcurrently(t *testing.T) {
	w := newWorld(false, pair()...)
	view := w.table.View(w.now)
	var callers sync.WaitGroup
	for g := range 8 {
		callers.Go(func() {
			q := w.query
			q.View, q.Rand = view, rand.New(rand.NewPCG(uint64(g), 1))
			for i := range 500 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				d, err := w.picker.Pick(now, q)
				if err != nil {
					t.Error(err)
					return
				}
				w.picker.Start(now, d.Member)
				w.picker.Progress(now, d.Member.VM)
				w.picker.Finish(now, d.Member, Result{Outcome: Outcome(i % 2), Latency: time.Millisecond})
			}
			w.picker.Expire(start)
		})
	}
	callers.Wait()
	for _, vm := range []string{"x", "y"} {
		w.picker.beliefs.shard(vm).with(vm, func(b *belief) {
			if b.outstanding != 0 {
				t.Errorf("%d calls outstanding on %s", b.outstanding, vm)
			}
		})
	}
}
