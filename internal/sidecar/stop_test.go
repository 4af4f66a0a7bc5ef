package sidecar_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a stopping node that closes callers' connections without a
// response while a slow upstream still handles their calls. First seen with a
// forwarded call (crier-mesh-grown trouble-1).
func TestStopSendsErrorForCallsThatOutlastIt(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(4*time.Second)).start()
	await(t, "the node to be ready", a.ready)
	responses := make(chan response, 4)
	for range cap(responses) {
		go func() { responses <- a.call("POST", "/once/x") }()
	}
	await(t, "all calls to run", func() bool { return a.runs.Load() == int64(cap(responses)) })
	a.settings.StopGracePeriod = 1200 * time.Millisecond
	began := time.Now()
	a.node.Stop()
	if took := time.Since(began); took > a.settings.StopGracePeriod {
		t.Errorf("the stop took %s, allowed %s", took, a.settings.StopGracePeriod)
	}
	for range cap(responses) {
		if got := <-responses; got.err != nil || got.status != http.StatusBadGateway {
			t.Errorf("got %+v, want status 502", got)
		}
	}
}

// Guards against a stopping node that takes calls late in its grace period which it
// cannot finish, and cuts them at the end: callers then do not know whether a
// non-idempotent call has run. The calls come from callers of the node, on new and
// on kept connections, and from another node.
func TestStoppingNodeTakesNoCallItCannotFinish(t *testing.T) {
	f := newFleet(t)
	// Calls that arrive 1.3 s into the stop time of 3 s would end after it.
	const runTime, lateArrival = 1800 * time.Millisecond, 1300 * time.Millisecond
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/long") {
			time.Sleep(runTime)
		}
		respondAfter(0)(w, r)
	}).start()
	b := f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
		await(t, "the nodes to know the upstream", func() bool { return v.call("GET", "/safe/short").status == http.StatusOK })
	}
	kept := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	if got := a.callWith(kept, "GET", "/safe/short"); got.status != http.StatusOK {
		t.Fatalf("call before the stop: got %+v, want status 200", got)
	}
	before := a.runs.Load()
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.node.Stop() }()
	time.Sleep(lateArrival)
	late := map[string]func() response{
		"POST on a new connection":  func() response { return a.call("POST", "/once/long") },
		"POST on a kept connection": func() response { return a.callWith(kept, "POST", "/once/long") },
		"GET on a new connection":   func() response { return a.call("GET", "/safe/long") },
		"POST by another node":      func() response { return b.call("POST", "/once/long") },
	}
	var calls sync.WaitGroup
	for name, send := range late {
		calls.Go(func() {
			began := time.Now()
			got := send()
			if got.err != nil || got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
				t.Errorf("%s: got %+v, want status 503 with Retry-After", name, got)
			}
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("%s: refused after %s, want at once", name, took)
			}
		})
	}
	calls.Wait()
	if n := a.runs.Load() - before; n != 0 {
		t.Errorf("%d calls ran that arrived too late, want none", n)
	}
	<-stopped
}

// Guards against refusing calls while callers cannot know yet that the node stops,
// and against refusing short calls that the node can finish.
func TestStoppingNodeTakesCallsItCanFinish(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(100*time.Millisecond)).start()
	await(t, "the node to be ready", a.ready)
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.node.Stop() }()
	await(t, "the node to report unready", func() bool { return !a.ready() })
	for _, method := range []string{"POST", "GET"} {
		path := map[string]string{"POST": "/once/x", "GET": "/safe/x"}[method]
		if got := a.call(method, path); got.status != http.StatusOK {
			t.Errorf("%s at the begin of the stop: got %+v, want status 200", method, got)
		}
	}
	<-stopped
}
