package sidecar_test

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a stopping node that closes callers' connections without an
// answer while a slow upstream still works on their calls: on crier-mesh-grown
// trouble-1 a caller whose call was passed on got neither an answer nor a
// refusal.
func TestStopAnswersCallsThatOutlastIt(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", work(4*time.Second)).start()
	await(t, "ready", a.ready)
	answers := make(chan answer, 4)
	for range cap(answers) {
		go func() { answers <- a.call("POST", "/once/x") }()
	}
	await(t, "the calls run", func() bool { return a.runs.Load() == int64(cap(answers)) })
	a.settings.StopGracePeriod = 1200 * time.Millisecond
	began := time.Now()
	a.node.Stop()
	if took := time.Since(began); took > a.settings.StopGracePeriod {
		t.Errorf("the stop took %s of %s", took, a.settings.StopGracePeriod)
	}
	for range cap(answers) {
		if got := <-answers; got.err != nil || got.status != http.StatusBadGateway {
			t.Errorf("got %+v", got)
		}
	}
}
