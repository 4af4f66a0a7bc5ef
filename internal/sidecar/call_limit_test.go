package sidecar_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	// An upstream that names a limit may get limitFactor times what it allows in
	// limitWindow, and limitSlack requests.
	limitFactor = 1.5
	limitSlack  = 5
	limitWindow = 4 * time.Second
)

// arrivalTimes records when requests reach an upstream. It is safe for
// concurrent use.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// mostWithin returns the largest number of arrivals within a window.
func (a *arrivalTimes) mostWithin(window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, t := range a.times {
		for t.Sub(a.times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against sending an upstream more calls than the limit that it names.
func TestCallsStayWithinLimitNamedByUpstream(t *testing.T) {
	const limit = 20
	var arrivals arrivalTimes
	var named atomic.Bool
	f := newFleet(t)
	f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerNames.CallLimit, strconv.Itoa(limit))
		if named.Swap(true) {
			arrivals.record()
		}
		respondAfter(5*time.Millisecond)(w, r)
	}).start()
	f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
	}
	await(t, "a served call", func() bool { return f.vms[0].call("GET", "/safe/x").status == http.StatusOK })
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(limitWindow + 500*time.Millisecond)
	for n := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Now().Before(end) {
				switch got := f.vms[n%2].call("GET", "/safe/x"); {
				case got.status == http.StatusOK:
					served.Add(1)
				case got.status == http.StatusServiceUnavailable && got.retryAfter != "":
					refused.Add(1)
					time.Sleep(20 * time.Millisecond)
				default:
					t.Errorf("got %+v, want status 200, or 503 with Retry-After", got)
				}
			}
		}()
	}
	callers.Wait()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	got := arrivals.mostWithin(limitWindow)
	t.Logf("%d arrivals in %s, %d calls served, %d refused", got, limitWindow, served.Load(), refused.Load())
	if got > allowed {
		t.Errorf("%d arrivals in %s at a limit of %d a second, want at most %d", got, limitWindow, limit, allowed)
	}
	if served.Load() < limit*int64(limitWindow.Seconds())*3/4 {
		t.Errorf("%d calls served at a limit of %d a second, want three quarters of what it allows in %s", served.Load(), limit, limitWindow)
	}
}

// Guards against calls to an upstream that has said in a response that it leaves.
func TestUpstreamThatSaysItLeavesGetsNoNewCalls(t *testing.T) {
	f := newFleet(t)
	var leaving atomic.Bool
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set(headerNames.Leaving, "1")
		}
		respondAfter(0)(w, r)
	}).start()
	b := f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
	}
	await(t, "a served call", func() bool { return b.call("GET", "/safe/x").status == http.StatusOK })
	leaving.Store(true)
	if got := b.call("GET", "/safe/x"); got.status != http.StatusOK {
		t.Fatalf("got %+v, want status 200", got)
	}
	check := func(when string) {
		t.Helper()
		before := a.arrivals.Load()
		for range 20 {
			if got := b.call("GET", "/safe/x"); got.status != http.StatusServiceUnavailable {
				t.Fatalf("%s: got %+v, want status 503", when, got)
			}
		}
		if n := a.arrivals.Load() - before; n > 0 {
			t.Errorf("%s: %d calls reached the leaving upstream, want none", when, n)
		}
	}
	check("at once")
	// A new entry of the upstream does not take back what it said.
	a.publish(instance.Ready)
	time.Sleep(time.Second)
	check("after a new entry")
	a.node.Close()
	a.start()
	await(t, "the restarted node to be ready", a.ready)
	check("after a restart of the node beside it")
}
