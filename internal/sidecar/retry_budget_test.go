package sidecar_test

import (
	"net/http"
	"sync"
	"testing"
)

const (
	// The platform allows retryBudgetRatio further arrivals for each call, and
	// retryBudgetSlack beyond that.
	retryBudgetRatio = 0.2
	retryBudgetSlack = 58
)

// checkRepeats fails the test if more requests than the retry budget allows
// reached the fleet's upstreams beyond the first of each call.
func checkRepeats(t *testing.T, f *fleet, calls int) {
	t.Helper()
	arrivals := 0
	for _, v := range f.vms {
		arrivals += int(v.arrivals.Load())
	}
	t.Logf("%d arrivals for %d calls", arrivals, calls)
	if repeats, allowed := arrivals-calls, retryBudgetRatio*float64(calls)+retryBudgetSlack; float64(repeats) > allowed {
		t.Errorf("%d arrivals for %d calls, %d beyond the first of each call, want at most %.0f", arrivals, calls, repeats, allowed)
	}
}

// Guards against sending each call to every upstream that restarted under an unlisted id.
func TestMisdirectedCallsStayWithinRetryBudget(t *testing.T) {
	f := newFleet(t)
	for range 5 {
		f.add("a", "z1", respondAfter(0)).start()
	}
	entry := f.vms[0]
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
	}
	await(t, "a served call", func() bool { return entry.call("GET", "/safe/x").status == http.StatusOK })
	for _, v := range f.vms {
		v.restarted.Store(true)
		v.arrivals.Store(0)
	}
	const calls = 200
	for range calls {
		if got := entry.call("GET", "/safe/x"); got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
			t.Fatalf("got %+v, want status 503 with Retry-After", got)
		}
	}
	checkRepeats(t, f, calls)
}

// Guards against sending one call to more upstreams than its route has attempts.
func TestMisdirectedCallReachesAtMostItsAttempts(t *testing.T) {
	f := newFleet(t)
	for range 5 {
		f.add("a", "z1", respondAfter(0)).start()
	}
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
		await(t, "a served call", func() bool { return v.call("GET", "/safe/x").status == http.StatusOK })
	}
	arrivals := int64(0)
	for _, v := range f.vms {
		v.restarted.Store(true)
		arrivals -= v.arrivals.Load()
	}
	f.vms[0].call("GET", "/safe/x")
	for _, v := range f.vms {
		arrivals += v.arrivals.Load()
	}
	// The route's policy has two attempts.
	if arrivals < 1 || arrivals > 2 {
		t.Errorf("the call reached %d upstreams, want 1 or 2", arrivals)
	}
}

// Guards against second sends after broken reused connections that no budget limits.
func TestResentCallsStayWithinRetryBudget(t *testing.T) {
	f := newFleet(t)
	// The upstream breaks each connection at its second request.
	var connections sync.Map
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if _, reused := connections.LoadOrStore(r.RemoteAddr, true); reused {
			panic(http.ErrAbortHandler)
		}
		respondAfter(0)(w, r)
	}).start()
	await(t, "the node to be ready", a.ready)
	await(t, "a served call", func() bool { return a.call("GET", "/safe/x").status == http.StatusOK })
	a.arrivals.Store(0)
	const calls = 400
	for range calls {
		a.call("GET", "/safe/x")
	}
	checkRepeats(t, f, calls)
}
