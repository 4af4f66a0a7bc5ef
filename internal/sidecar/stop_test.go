package sidecar_test

import (
	"net/http"
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
