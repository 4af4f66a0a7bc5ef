package routing

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Guards against moving calls away from a fast upstream because of wrong health
// checks, although this node's calls to it succeed.
func TestPickerWeighsOwnObservationsAboveHealthReports(t *testing.T) {
	h := newHarness(false, twoUpstreams()...)
	counts := h.run(t, 500, func(vm string) Result {
		h.picker.ObserveHealth(h.now, "x", false)
		return completed(map[string]time.Duration{"x": 10, "y": 100}[vm]*time.Millisecond, nil)
	})
	if counts["x"] < 250 {
		t.Errorf("calls by VM: %v, want at least 250 of 500 on x despite failed health checks", counts)
	}
}

// Guards against sending calls to another region when the sender's region is
// busy, against refusing all calls when every upstream fails, and against calls
// to an upstream that is leaving when it is the only one.
func TestPickerBusyRegionAndLastResort(t *testing.T) {
	h := newHarness(false, vm("x", "a1", warmAge), vm("far", "b1", warmAge))
	busy := h.run(t, 200, func(string) Result { return Result{Outcome: OutcomeRefused} })
	if busy["x"] != 200 {
		t.Errorf("busy region: calls by VM: %v, want 200 on x", busy)
	}
	h = newHarness(false, vm("x", "a1", warmAge))
	if counts := h.run(t, 200, func(string) Result { return Result{Outcome: OutcomeFailed} }); counts["none"] > 0 {
		t.Errorf("the only upstream fails: calls by VM: %v, want 0 under \"none\"", counts)
	}
	leaving := vm("x", "a1", warmAge)
	leaving.Status = member.Leaving
	h = newHarness(false, leaving)
	h.query.View = h.table.View(h.now)
	_, err := h.pick(h.now, h.query)
	var noUpstream *NoUpstreamError
	if !errors.As(err, &noUpstream) || noUpstream.Skipped.Leaving != 1 {
		t.Errorf("the only upstream is leaving: error %v, want a NoUpstreamError with 1 leaving", err)
	}
}

// Guards against sending urgent calls to another region because calls of the
// least urgent rank are refused in the sender's region during an overload.
func TestPickerCountsRefusalsByRank(t *testing.T) {
	h := newHarness(false, vm("x", "a1", warmAge), vm("far", "b1", warmAge))
	h.query.Worth = 100
	for range 100 {
		h.picker.Finish(h.now, h.byVM["x"], Result{Outcome: OutcomeRefused, Order: 2})
	}
	h.query.Order = 2
	if leastUrgent := h.run(t, 1, func(string) Result { return Result{Outcome: OutcomeCanceled} }); leastUrgent["far"] != 1 {
		t.Errorf("least urgent rank: calls by VM: %v, want 1 on far", leastUrgent)
	}
	h.query.Order = 0
	if urgent := h.run(t, 1, func(string) Result { return Result{Outcome: OutcomeCanceled} }); urgent["x"] != 1 {
		t.Errorf("urgent rank: calls by VM: %v, want 1 on x", urgent)
	}
}

// Guards against retrying an upstream that the call has already tried, and
// against treating a region as down only because its upstreams were tried.
func TestPickerExcludesTriedUpstreams(t *testing.T) {
	h := newHarness(false, vm("x", "a1", warmAge), vm("far", "b1", warmAge))
	h.query.Exclude = map[string]bool{"x": true}
	h.query.Bytes = 100 << 10
	served := func(string) Result { return completed(time.Millisecond, nil) }
	if tried := h.run(t, 1, served); tried["none"] != 1 {
		t.Errorf("x was tried and works: calls by VM: %v, want 1 under \"none\"", tried)
	}
	for range 3 {
		h.picker.Finish(h.now, h.byVM["x"], Result{Outcome: OutcomeFailed})
	}
	if down := h.run(t, 1, served); down["far"] != 1 {
		t.Errorf("x was tried and is down: calls by VM: %v, want 1 on far", down)
	}
	h.query.Bytes = 10 << 20
	if down := h.run(t, 1, served); down["none"] != 1 {
		t.Errorf("x was tried and is down, call too large for far: calls by VM: %v, want 1 under \"none\"", down)
	}
}

// Guards against new calls to an upstream that takes longer to leave than
// leavingTTL while leave notices keep arriving.
func TestPickerHonorsRepeatedLeaveNotices(t *testing.T) {
	h := newHarness(false, twoUpstreams()...)
	for range 3 {
		h.picker.ObserveLeaving(h.now, "x", h.byVM["x"].Boot, LeaveVMList)
		h.now = h.now.Add(40 * time.Second)
	}
	if source, leaving := h.picker.Leaving(h.now, "x"); !leaving || source != LeaveVMList {
		t.Errorf("leaving: %t, source: %q, want true, \"vm-list\"", leaving, source)
	}
	counts := h.run(t, 100, func(string) Result { return completed(time.Millisecond, nil) })
	if counts["x"] > 0 {
		t.Errorf("calls by VM: %v, want none on x", counts)
	}
}

// Guards against data races between picks and observations, and against calls
// that stay counted as outstanding after they ended.
func TestPickerConcurrently(t *testing.T) {
	h := newHarness(false, twoUpstreams()...)
	view := h.table.View(h.now)
	var callers sync.WaitGroup
	for g := range 8 {
		callers.Go(func() {
			q := h.query
			q.View, q.Rand = view, rand.New(rand.NewPCG(uint64(g), 1))
			for i := range 500 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				d, err := h.picker.Pick(now, q)
				if err != nil {
					t.Error(err)
					return
				}
				h.picker.Start(now, d.Member)
				h.picker.Progress(now, d.Member.VM)
				h.picker.Finish(now, d.Member, Result{Outcome: Outcome(i % 2), Latency: time.Millisecond})
			}
			h.picker.Expire(start)
		})
	}
	callers.Wait()
	for _, vm := range []string{"x", "y"} {
		h.picker.stats.shard(vm).update(vm, func(s *upstreamStats) {
			if s.outstanding != 0 {
				t.Errorf("%d calls outstanding on %s, want 0", s.outstanding, vm)
			}
		})
	}
}
