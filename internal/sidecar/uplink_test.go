package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against admitting calls whose large responses the VM's link cannot send
// in time: all of them would be late, and so would small responses queued behind
// them. A call that does not fit is refused at once and does not run.
func TestCallsThatDoNotFitTheLinkAreRefused(t *testing.T) {
	const size = 60_000
	f := newFleet(t)
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	a.settings.LinkBytesPerSecond = 200_000
	a.start()
	await(t, "the node to be ready", a.ready)
	// The node estimates the size of the route's next responses from this one.
	if got := a.call("GET", "/safe/learn"); got.status != http.StatusOK || len(got.body) != size {
		t.Fatalf("first call: status %d, %d bytes, error %v, want a whole response", got.status, len(got.body), got.err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	began := time.Now()
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := a.call("GET", "/safe/x")
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status == http.StatusOK && len(got.body) == size:
				served++
			case got.status == http.StatusServiceUnavailable && got.retryAfter != "" && took < 300*time.Millisecond:
				refused++
			default:
				t.Errorf("status %d, %d bytes, error %v after %s, want a whole response or an immediate 503", got.status, len(got.body), got.err, took)
			}
		}()
	}
	wg.Wait()
	// The link carries three responses per second: 90% of its rate is scheduled.
	if served < 1 || served > 4 || a.runs.Load() != int64(served)+1 {
		t.Errorf("%d served, %d refused, %d runs, want 1 to 4 served and one more run than served", served, refused, a.runs.Load())
	}
}

// Guards against aborting a response because the call's deadline passes while it
// is being sent: a late response is worth more than none.
func TestLateResponseIsStillSent(t *testing.T) {
	const size = 60_000
	f := newFleet(t)
	// Both calls run before either is answered. Once the size of the first response
	// is known, the node refuses a further call, because the link is too busy for it.
	var running sync.WaitGroup
	running.Add(2)
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		running.Done()
		running.Wait()
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	// Sending both responses takes 3.3 s at the scheduled 90% of the link's rate.
	// The calls have a deadline of 2.5 s.
	a.settings.LinkBytesPerSecond = 40_000
	a.start()
	await(t, "the node to be ready", a.ready)
	responses := make(chan response, 2)
	for range cap(responses) {
		go func() { responses <- a.call("GET", "/safe/x") }()
	}
	for range cap(responses) {
		if got := <-responses; got.err != nil || got.status != http.StatusOK || len(got.body) != size {
			t.Errorf("status %d, %d bytes, error %v, want a whole response", got.status, len(got.body), got.err)
		}
	}
}

// Guards against large request bodies that the VM's link cannot receive in time: they
// made small calls behind them miss their deadline. A body that does not fit is
// refused by its head, before it is sent, and the call does not run.
func TestBodiesThatDoNotFitTheLinkAreRefused(t *testing.T) {
	const size = 60_000
	f := newFleet(t)
	var received atomic.Int64
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		received.Add(n)
	})
	a.settings.LinkBytesPerSecond = 200_000
	a.start()
	b := f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
	}
	await(t, "the node to know the upstream", func() bool { return b.call("GET", "/safe/x").status == http.StatusOK })
	before := a.runs.Load()
	body := strings.Repeat("x", size)
	var calls sync.WaitGroup
	var served, refused atomic.Int64
	began := time.Now()
	for range 12 {
		calls.Go(func() {
			got := b.upload("/once/x", body)
			switch {
			case got.status == http.StatusOK:
				served.Add(1)
			case got.status == http.StatusServiceUnavailable && got.retryAfter != "" && time.Since(began) < 500*time.Millisecond:
				refused.Add(1)
			default:
				t.Errorf("got %+v after %s, want status 200 or an immediate 503", got, time.Since(began))
			}
		})
	}
	calls.Wait()
	// The link receives three bodies a second: 90% of its rate is scheduled.
	if n := served.Load(); n < 1 || n > 4 || a.runs.Load()-before != n || received.Load() != n*size {
		t.Errorf("%d served, %d refused, %d runs, %d bytes received, want 1 to 4 served, each run once and with its whole body",
			n, refused.Load(), a.runs.Load()-before, received.Load())
	}
}

// Guards against reserving the link for the request body of an upload as if the
// response had its size: calls with small responses were refused because of it.
func TestUploadsReserveTheLinkForTheirResponsesOnly(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondAfter(50*time.Millisecond)(w, r)
	})
	a.settings.LinkBytesPerSecond = 200_000
	a.start()
	await(t, "the node to be ready", a.ready)
	body := strings.Repeat("x", 60_000)
	if got := a.upload("/once/x", body); got.status != http.StatusOK {
		t.Fatalf("first upload: got %+v, want status 200", got)
	}
	var calls sync.WaitGroup
	for range 12 {
		calls.Go(func() {
			if got := a.upload("/once/x", body); got.status != http.StatusOK {
				t.Errorf("got %+v, want status 200", got)
			}
		})
	}
	calls.Wait()
}
