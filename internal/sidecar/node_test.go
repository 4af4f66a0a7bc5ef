package sidecar_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// Guards against a stopping node that waits while callers keep sending new
// calls, exceeds its stop time and is killed, which aborts the calls in flight.
func TestStopUnderLoadAbortsNoCall(t *testing.T) {
	f := newFleet(t)
	handler := func(w http.ResponseWriter, r *http.Request) {
		d := 80 * time.Millisecond
		if r.URL.Path == "/once/slow" {
			d = time.Second
		}
		respondAfter(d)(w, r)
	}
	a := f.add("a", "z1", handler).start()
	b := f.add("a", "z1", handler).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, aborted := map[int]int{}, 0
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := a.call("POST", "/once/x")
				mu.Lock()
				if got.err != nil && got.status != 0 {
					aborted++
				}
				statuses[got.status]++
				mu.Unlock()
				if got.err != nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	slow := make(chan response, 1)
	// This call arrives before callers must have switched to other nodes, and is in
	// flight when the node begins to refuse all new ones.
	time.AfterFunc(a.settings.StopGracePeriod/3, func() { slow <- a.call("POST", "/once/slow") })
	a.node.Stop()
	if got := <-slow; got.status != http.StatusOK {
		t.Errorf("call in flight: got %+v, want status 200", got)
	}
	if took := time.Since(began); took > a.settings.StopGracePeriod {
		t.Errorf("the stop took %s, longer than the stop time", took)
	}
	close(stop)
	callers.Wait()
	if aborted > 0 || statuses[http.StatusBadGateway] > 0 || statuses[http.StatusGatewayTimeout] > 0 {
		t.Errorf("%d calls aborted, statuses %v, want none aborted and no 502 or 504", aborted, statuses)
	}
	if statuses[http.StatusOK] < 20 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("statuses %v, want at least 20 times 200 and at least one 503", statuses)
	}
	if ran, succeeded := a.runs.Load()+b.runs.Load(), int64(statuses[http.StatusOK])+1; ran != succeeded {
		t.Errorf("%d calls ran, %d got status 200", ran, succeeded)
	}
}

// Guards against a node that cannot reach the store when it starts and stays
// unready although its peers have a version, or that misses later versions.
func TestNodeReadsFromPeersWhileStoreIsDown(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(0)).start()
	await(t, "the node to be ready", a.ready)
	b := f.add("b", "z2", respondAfter(0))
	b.source.down.Store(true)
	b.start()
	await(t, "the node to be ready with a version from a peer", b.ready)
	if got := b.call("GET", "/safe/x"); got.status != http.StatusOK || a.runs.Load() == 0 {
		t.Errorf("got %+v, want status 200 from service a", got)
	}
	f.store.put("config", version{Number: 2, Body: sectionBody("b")})
	await(t, "a call routed to service b by version 2", func() bool {
		return b.call("GET", "/safe/x").status == http.StatusOK && b.runs.Load() > 0
	})
}

// Guards against responding with 404 instead of 503 before a version is known.
func TestNodeWithoutVersionRefuses(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(0))
	a.source.down.Store(true)
	a.start()
	got := a.call("GET", "/safe/x")
	if got.status != http.StatusServiceUnavailable || got.retryAfter == "" || a.ready() {
		t.Errorf("got %+v, ready %t, want status 503 with Retry-After from an unready node", got, a.ready())
	}
}

// Guards against retrying a non-idempotent call whose response was lost, and
// against reporting it as not run.
func TestLostAnswerOfNonIdempotentCall(t *testing.T) {
	f := newFleet(t)
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	a := f.add("a", "z1", abort).start()
	b := f.add("a", "z1", abort).start()
	await(t, "both nodes to be ready", func() bool { return a.ready() && b.ready() })
	if got := a.call("POST", "/once/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %+v, want status 502", got)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Errorf("the call ran %d times, want 1", n)
	}
}

// Guards against failing an idempotent call whose response was lost although
// another upstream is available.
func TestLostAnswerOfIdempotentCallIsRetried(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }).start()
	b := f.add("a", "z2", respondAfter(0)).start()
	await(t, "both nodes to be ready", func() bool { return a.ready() && b.ready() })
	await(t, "a call that reached the failing upstream", func() bool {
		got := a.call("GET", "/safe/x")
		if got.status != http.StatusOK || got.body != "done /safe/x" {
			t.Fatalf("got %+v, want status 200 from the other upstream", got)
		}
		return a.runs.Load() > 0
	})
}

// Guards against forwarding a truncated response as a complete one.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
	}).start()
	await(t, "the node to be ready", a.ready)
	if got := a.call("POST", "/once/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %+v, want status 502", got)
	}
}

// Guards against routing new calls to a draining upstream, from its own node
// and from others.
func TestDrainingUpstreamGetsNoNewCalls(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(0)).start()
	b := f.add("a", "z1", respondAfter(0)).start()
	await(t, "both nodes to be ready", func() bool { return a.ready() && b.ready() })
	await(t, "calls at both upstreams", func() bool {
		a.call("GET", "/safe/x")
		b.call("GET", "/safe/x")
		return a.runs.Load() > 0 && b.runs.Load() > 0
	})
	b.publish(instance.Draining)
	// Both nodes have time to read the new state.
	time.Sleep(time.Second)
	before := b.runs.Load()
	for range 50 {
		if got := b.call("GET", "/safe/x"); got.status != http.StatusOK {
			t.Fatalf("got %+v, want status 200", got)
		}
		a.call("GET", "/safe/x")
	}
	if b.runs.Load() != before {
		t.Errorf("%d calls ran at the draining upstream, want none", b.runs.Load()-before)
	}
}

// Guards against reporting a call as not run although its upstream may have run
// it: the upstream crashes while it handles the call on a reused connection, and
// the retry's connection is refused.
func TestCrashOnReusedConnectionIsNotReportedAsNotRun(t *testing.T) {
	f := newFleet(t)
	var a *vm
	var crash atomic.Bool
	a = f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if crash.Load() {
			_ = a.upstream.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		respondAfter(0)(w, r)
	}).start()
	await(t, "the node to be ready", a.ready)
	if got := a.call("GET", "/safe/x"); got.status != http.StatusOK {
		t.Fatalf("call before the crash: got %+v, want status 200", got)
	}
	crash.Store(true)
	if got := a.call("GET", "/safe/x"); got.status != http.StatusBadGateway {
		t.Errorf("call during the crash: got %+v, want status 502", got)
	}
}

// Guards against failing HEAD calls, whose responses have a Content-Length but
// no body.
func TestHeadCallKeepsContentLength(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(0)).start()
	b := f.add("b", "z1", respondAfter(0)).start()
	await(t, "both nodes to be ready", func() bool { return a.ready() && b.ready() })
	for _, v := range f.vms {
		req, err := http.NewRequest(http.MethodHead, "http://"+v.addr(1)+"/safe/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set(headerNames.AttemptID, "head-"+v.id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || resp.ContentLength != int64(len("done /safe/x")) {
			t.Errorf("status %d, Content-Length %d, want 200 and the length of \"done /safe/x\"", resp.StatusCode, resp.ContentLength)
		}
	}
}
