package sidecar_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// allowedCrashes is how many upstreams a request may crash: a first crash that names it
// as a suspect, and a second one that shows that it is to blame.
const allowedCrashes = 2

// changeTime is how long a change of the store takes at most to reach all nodes.
const changeTime = 2500 * time.Millisecond

// poisonedBody reports whether a request's body says that it crashes upstreams.
func poisonedBody(r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	return strings.HasPrefix(string(body), "poison")
}

// startCrashing starts a fleet whose upstreams crash on poisoned bodies, and waits
// until each node serves calls.
func startCrashing(t *testing.T, n int) (*fleet, []*crashingUpstream) {
	f := newFleet(t)
	var upstreams []*crashingUpstream
	for i := range n {
		u := f.addCrashing("a", fmt.Sprint("z", i%3), 150*time.Millisecond, poisonedBody, respondAfter(20*time.Millisecond))
		u.vm.start()
		upstreams = append(upstreams, u)
	}
	for _, u := range upstreams {
		await(t, "the node to be ready", u.vm.ready)
		await(t, "the node to know the upstreams", func() bool { return u.vm.call("GET", "/safe/x").status == http.StatusOK })
	}
	time.Sleep(changeTime)
	return f, upstreams
}

func totalCrashes(upstreams []*crashingUpstream) int64 {
	var n int64
	for _, u := range upstreams {
		n += u.crashes.Load()
	}
	return n
}

// Guards against a request that crashes the upstreams which run it and is sent to one
// after the other, and against refusing sound calls of the same path beside it. Copies
// arrive at all nodes, one after the other or several requests at once.
func TestCrashingRequestsAreStopped(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		for _, requests := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d", path, requests), func(t *testing.T) {
				_, upstreams := startCrashing(t, 6)
				stop := make(chan struct{})
				var refused atomic.Int64
				var sound, poison sync.WaitGroup
				for _, u := range upstreams {
					sound.Go(func() { sendSound(u.vm, path, stop, &refused) })
				}
				for i := range requests {
					poison.Go(func() { sendCopies(t, upstreams, path, fmt.Sprint("poison ", i)) })
				}
				poison.Wait()
				if n := totalCrashes(upstreams); n > int64(allowedCrashes*requests) {
					t.Errorf("%d crashes by %d requests, want at most %d", n, requests, allowedCrashes*requests)
				}
				await(t, "the upstreams to be back", func() bool {
					for _, u := range upstreams {
						if u.vm.upload(path, "sound after").status != http.StatusOK {
							return false
						}
					}
					return true
				})
				before := refused.Load()
				time.Sleep(500 * time.Millisecond)
				close(stop)
				sound.Wait()
				if n := refused.Load() - before; n != 0 {
					t.Errorf("%d sound calls failed after the crashes, want 0", n)
				}
			})
		}
	}
}

// sendSound sends the same sound call again and again and counts those that fail.
func sendSound(v *vm, path string, stop <-chan struct{}, failed *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if v.upload(path, "sound").status != http.StatusOK {
			failed.Add(1)
		}
	}
}

// sendCopies sends copies of a request that crashes upstreams to one node after the
// other. Once it is quarantined they are refused with a true statement of when to come
// back.
func sendCopies(t *testing.T, upstreams []*crashingUpstream, path, body string) {
	var last response
	for i := range 16 {
		last = upstreams[i%len(upstreams)].vm.upload(path, body)
		time.Sleep(100 * time.Millisecond)
	}
	if !last.quarantined() {
		t.Errorf("the last copy of %s got %+v, want status 503 and to come back when the quarantine ends", body, last)
	}
}

// Guards against a quarantine of sound calls because one faulty upstream crashes with
// each call while the others serve them. The load needs the faulty upstream too, so that
// it gets calls again after each crash.
func TestCallsAreNotQuarantinedForOneFaultyUpstream(t *testing.T) {
	f := newFleet(t)
	var faulty atomic.Bool
	canary := f.addCrashing("a", "z1", 50*time.Millisecond, func(*http.Request) bool { return faulty.Load() }, respondAfter(0))
	canary.vm.start()
	for range 3 {
		f.add("a", "z1", respondAfter(50*time.Millisecond)).start()
	}
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
		await(t, "the nodes to know the upstreams", func() bool { return v.call("GET", "/safe/x").status == http.StatusOK })
	}
	time.Sleep(changeTime)
	faulty.Store(true)
	stop := time.Now().Add(5 * time.Second)
	var served, quarantined atomic.Int64
	var callers sync.WaitGroup
	for _, v := range f.vms {
		for range 8 {
			callers.Go(func() {
				for time.Now().Before(stop) {
					got := v.call("GET", "/safe/x")
					if got.status == http.StatusOK {
						served.Add(1)
					} else if got.quarantined() {
						quarantined.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	if n := canary.crashes.Load(); n < 3 {
		t.Fatalf("the faulty upstream crashed %d times, want 3 or more", n)
	}
	if n := quarantined.Load(); n > 0 || served.Load() == 0 {
		t.Errorf("%d calls quarantined and %d served, with %d crashes of one upstream, want none quarantined", n, served.Load(), canary.crashes.Load())
	}
}

// quarantined reports whether a call was refused for the minutes of a quarantine.
func (r response) quarantined() bool {
	return r.status == http.StatusServiceUnavailable && len(r.retryAfter) >= len("100.000")
}

// Guards against a node that starts after a request was quarantined and runs it once
// more.
func TestNodeThatStartsLaterLearnsOfQuarantinedRequests(t *testing.T) {
	f, upstreams := startCrashing(t, 3)
	sendCopies(t, upstreams, "/once/x", "poison")
	before := totalCrashes(upstreams)
	late := f.addCrashing("a", "z1", 150*time.Millisecond, poisonedBody, respondAfter(0))
	late.vm.start()
	await(t, "the late node to be ready", late.vm.ready)
	// Each of the other nodes tells a random one every 2 s.
	time.Sleep(10 * time.Second)
	for range 10 {
		late.vm.upload("/once/x", "poison")
	}
	if late.vm.upload("/once/x", "sound").status != http.StatusOK {
		t.Error("the late node does not serve a sound call")
	}
	if n := totalCrashes(upstreams) + late.crashes.Load() - before; n != 0 {
		t.Errorf("the request crashed %d further upstreams, want 0", n)
	}
}
