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

// Guards against a stopping node that cuts off calls because callers keep
// coming until it is killed, and against one that does not end in time.
func TestStopUnderLoadCutsNoCall(t *testing.T) {
	f := newFleet(t)
	run := func(w http.ResponseWriter, r *http.Request) {
		d := 80 * time.Millisecond
		if r.URL.Path == "/once/slow" {
			d = 600 * time.Millisecond
		}
		work(d)(w, r)
	}
	a := f.add("a", "z1", run).start()
	b := f.add("a", "z1", run).start()
	for _, v := range f.vms {
		await(t, "ready", v.ready)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses, cut := map[int]int{}, 0
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
					cut++
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
	slow := make(chan answer, 1)
	// This call is in flight when the node begins to refuse others.
	time.AfterFunc(a.settings.StopGracePeriod/2-200*time.Millisecond, func() { slow <- a.call("POST", "/once/slow") })
	a.node.Stop()
	if got := <-slow; got.status != http.StatusOK {
		t.Errorf("the call in flight got %+v", got)
	}
	if took := time.Since(began); took > a.settings.StopGracePeriod {
		t.Errorf("the stop took %s", took)
	}
	close(stop)
	callers.Wait()
	if cut > 0 || statuses[http.StatusBadGateway] > 0 || statuses[http.StatusGatewayTimeout] > 0 {
		t.Errorf("calls cut off: %d, statuses %v", cut, statuses)
	}
	if statuses[http.StatusOK] < 20 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("statuses %v", statuses)
	}
	if ran, told := a.runs.Load()+b.runs.Load(), int64(statuses[http.StatusOK])+1; ran != told {
		t.Errorf("%d calls ran, %d were answered", ran, told)
	}
}

// Guards against a node that starts empty beside a store that refuses it and
// then serves nothing, although its neighbours have a version; and against one
// that misses later versions.
func TestNodeRefusedByTheStoreLearnsFromPeers(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", work(0)).start()
	await(t, "ready", a.ready)
	b := f.add("b", "z2", work(0))
	b.source.down.Store(true)
	b.start()
	await(t, "a version from a peer", b.ready)
	if got := b.call("GET", "/safe/x"); got.status != http.StatusOK || a.runs.Load() == 0 {
		t.Errorf("got %+v", got)
	}
	f.store.put("config", version{Number: 2, Body: body("b")})
	await(t, "the next version", func() bool {
		return b.call("GET", "/safe/x").status == http.StatusOK && b.runs.Load() > 0
	})
}

// Guards against answering 404 before any version is known.
func TestNodeWithoutVersionRefuses(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", work(0))
	a.source.down.Store(true)
	a.start()
	got := a.call("GET", "/safe/x")
	if got.status != http.StatusServiceUnavailable || got.retryAfter == "" || a.ready() {
		t.Errorf("got %+v, ready %t", got, a.ready())
	}
}

// Guards against running a call again that may run once only after its answer
// was lost, and against calling it not run.
func TestLostAnswerOfNonIdempotentCall(t *testing.T) {
	f := newFleet(t)
	lose := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	a := f.add("a", "z1", lose).start()
	b := f.add("a", "z1", lose).start()
	await(t, "ready", func() bool { return a.ready() && b.ready() })
	if got := a.call("POST", "/once/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %+v", got)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// Guards against failing an idempotent call whose answer was lost although
// another upstream serves.
func TestLostAnswerOfIdempotentCallIsRetried(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }).start()
	b := f.add("a", "z2", work(0)).start()
	await(t, "ready", func() bool { return a.ready() && b.ready() })
	await(t, "a call at the failing upstream", func() bool {
		got := a.call("GET", "/safe/x")
		if got.status != http.StatusOK || got.body != "done /safe/x" {
			t.Fatalf("got %+v", got)
		}
		return a.runs.Load() > 0
	})
}

// Guards against passing on an answer that ended early as a complete one.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
	}).start()
	await(t, "ready", a.ready)
	if got := a.call("POST", "/once/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %+v", got)
	}
}

// Guards against new work for an upstream that is leaving, from its own node
// and from others.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", work(0)).start()
	b := f.add("a", "z1", work(0)).start()
	await(t, "ready", func() bool { return a.ready() && b.ready() })
	await(t, "calls at both", func() bool {
		a.call("GET", "/safe/x")
		b.call("GET", "/safe/x")
		return a.runs.Load() > 0 && b.runs.Load() > 0
	})
	b.list(instance.Draining)
	time.Sleep(time.Second)
	before := b.runs.Load()
	for range 50 {
		if got := b.call("GET", "/safe/x"); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
		a.call("GET", "/safe/x")
	}
	if b.runs.Load() != before {
		t.Errorf("%d calls ran at the draining upstream", b.runs.Load()-before)
	}
}

// Guards against calling a call not run that its upstream may have run: the
// upstream dies with the call on a kept connection, and the second try finds
// nobody listening.
func TestCrashOnAKeptConnectionIsNotCalledNotRun(t *testing.T) {
	f := newFleet(t)
	var a *vm
	var die atomic.Bool
	a = f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if die.Load() {
			_ = a.upstream.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		work(0)(w, r)
	}).start()
	await(t, "ready", a.ready)
	if got := a.call("GET", "/safe/x"); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	die.Store(true)
	if got := a.call("GET", "/safe/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %+v", got)
	}
}

// Guards against failing HEAD calls, whose answers announce a length without a
// body.
func TestHeadCallKeepsTheLength(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", work(0)).start()
	b := f.add("b", "z1", work(0)).start()
	await(t, "ready", func() bool { return a.ready() && b.ready() })
	for _, v := range f.vms {
		req, err := http.NewRequest(http.MethodHead, "http://"+v.addr(1)+"/safe/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set(names.AttemptID, "head-"+v.id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || resp.ContentLength != int64(len("done /safe/x")) {
			t.Errorf("status %d, length %d", resp.StatusCode, resp.ContentLength)
		}
	}
}
