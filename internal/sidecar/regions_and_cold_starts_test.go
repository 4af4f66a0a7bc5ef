package sidecar_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/feed"
	"github.com/filbertpier/filbertpier/internal/replica"
)

// putRegions publishes a version whose routes to service a allow the given regions.
func (f *fleet) putRegions(number uint64, regions ...string) {
	body := sectionBody("a")
	for i := range body.Routes {
		body.Routes[i].AllowedRegions = regions
	}
	f.store.put("config", version{Number: number, Body: body})
}

// awaitServing waits until each node is ready and serves calls.
func (f *fleet) awaitServing(path string) {
	f.t.Helper()
	for _, v := range f.vms {
		await(f.t, "the node to be ready", v.ready)
		await(f.t, "the node to serve calls", func() bool { return v.call("GET", path).status == http.StatusOK })
	}
}

// Guards against a call that runs in a region which its route does not allow: at first,
// after a version that moves the regions, at its node beside the upstream and when the
// allowed upstreams are lost. It is refused then, as not run.
func TestCallsRunInAllowedRegionsOnly(t *testing.T) {
	f := newFleet(t)
	near := f.add("a", "z1@near", respondAfter(0)).start()
	far := f.add("a", "z2@far", respondAfter(0)).start()
	entry := f.add("b", "z1@near", respondAfter(0)).start()
	f.awaitServing("/safe/x")
	check := func(when string, want, other *vm) {
		t.Helper()
		before := other.arrivals.Load()
		ran := want.runs.Load()
		for n := range 10 {
			for _, path := range []string{"/safe/", "/once/"} {
				if got := entry.call("GET", path+strconv.Itoa(n)); got.status != http.StatusOK {
					t.Errorf("%s: got %+v, want status 200", when, got)
				}
			}
		}
		if n := other.arrivals.Load() - before; n != 0 || want.runs.Load()-ran != 20 {
			t.Errorf("%s: %d calls reached a region that is not allowed and %d ran in the allowed one, want 0 and 20", when, n, want.runs.Load()-ran)
		}
	}
	awaitVersion := func(number uint64, regions ...string) {
		f.putRegions(number, regions...)
		time.Sleep(changeTime)
	}
	awaitVersion(2, "far")
	check("the far region is allowed", far, near)
	awaitVersion(3, "near")
	check("the near region is allowed", near, far)
	awaitVersion(4, "nowhere")
	if got := entry.call("GET", "/safe/x"); got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
		t.Errorf("no upstream in the allowed region: got %+v, want status 503 with Retry-After", got)
	}
	awaitVersion(5, "near")
	near.node.Close()
	before := far.arrivals.Load()
	for range 10 {
		if got := entry.call("POST", "/once/x"); got.status != http.StatusServiceUnavailable {
			t.Errorf("the allowed upstream is lost: got %+v, want status 503", got)
		}
	}
	if n := far.arrivals.Load() - before; n != 0 {
		t.Errorf("the allowed upstream is lost: %d calls reached another region", n)
	}
}

// frozenDecoder ignores further versions once frozen is set, so that its node keeps an
// old one.
type frozenDecoder struct {
	decoder
	frozen atomic.Bool
}

// Decode implements feed.Decoder.
func (d *frozenDecoder) Decode(now time.Time, item replica.Item) (feed.Change, error) {
	change, err := d.decoder.Decode(now, item)
	if d.frozen.Load() && change.Snapshot != nil {
		return feed.Change{}, nil
	}
	return change, err
}

// Guards against a sender with an old version that gets a call run in a region that the
// current version does not allow: the node beside the upstream knows it.
func TestNodeBesideUpstreamRefusesForeignRegion(t *testing.T) {
	f := newFleet(t)
	far := f.add("a", "z2@far", respondAfter(0)).start()
	entry := f.add("b", "z1@near", respondAfter(0))
	old := &frozenDecoder{}
	entry.decoder = old
	entry.start()
	f.awaitServing("/safe/x")
	old.frozen.Store(true)
	f.putRegions(2, "near")
	time.Sleep(changeTime)
	before := far.arrivals.Load()
	if got := entry.call("GET", "/safe/x"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want status 503", got)
	}
	if n := far.arrivals.Load() - before; n != 0 {
		t.Errorf("%d calls reached the upstream, want 0", n)
	}
}

// Guards against calls to an evacuated zone, also from a node that starts during the
// evacuation while the store is down, and against a zone that stays empty afterwards.
func TestEvacuatedZoneIsLeftAndTakenBack(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", "z1", respondAfter(0)).start()
	b := f.add("a", "z2", respondAfter(0)).start()
	entry := f.add("b", "z1", respondAfter(0)).start()
	f.awaitServing("/safe/x")
	f.store.put("evacuate/z1", struct{}{})
	time.Sleep(changeTime)
	for _, v := range f.vms {
		v.source.down.Store(true)
	}
	late := f.add("b", "z1", respondAfter(0))
	late.source.down.Store(true)
	late.start()
	await(t, "the late node to be ready", late.ready)
	before := a.arrivals.Load()
	for n := range 20 {
		for _, v := range []*vm{entry, late, a} {
			if got := v.call("POST", "/once/"+strconv.Itoa(n)); got.status != http.StatusOK {
				t.Errorf("got %+v from the node in %s, want status 200", got, v.zone)
			}
		}
	}
	if n := a.arrivals.Load() - before; n != 0 {
		t.Errorf("%d calls reached the evacuated zone, want 0", n)
	}
	for _, v := range f.vms {
		v.source.down.Store(false)
	}
	f.store.put("evacuate/z2", struct{}{})
	time.Sleep(changeTime)
	if got := entry.call("GET", "/safe/x"); got.status != http.StatusServiceUnavailable || got.retryAfter < "1" {
		t.Errorf("all zones are evacuated: got %+v, want status 503 and to come back in a second or more", got)
	}
	f.store.put("evacuate/z1", nil)
	time.Sleep(changeTime)
	before, ran := b.arrivals.Load(), a.runs.Load()
	for n := range 20 {
		if got := entry.call("GET", "/safe/"+strconv.Itoa(n)); got.status != http.StatusOK {
			t.Errorf("after the evacuation: got %+v, want status 200", got)
		}
	}
	if a.runs.Load()-ran != 20 || b.arrivals.Load() != before {
		t.Errorf("after the evacuation %d of 20 calls ran in the zone that was taken back", a.runs.Load()-ran)
	}
}

// coldUpstream is an upstream that is cold for a while after each start. It records when
// calls arrive meanwhile.
type coldUpstream struct {
	until    atomic.Int64
	arrivals arrivalTimes
}

func (u *coldUpstream) remaining() time.Duration { return time.Until(time.Unix(0, u.until.Load())) }

func (u *coldUpstream) restart(coldStart time.Duration) {
	u.until.Store(time.Now().Add(coldStart).UnixNano())
}

func (u *coldUpstream) serve(w http.ResponseWriter, r *http.Request) {
	if u.remaining() > 0 {
		u.arrivals.record()
	}
	respondAfter(5*time.Millisecond)(w, r)
}

func (u *coldUpstream) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headerNames.ColdRemaining, fmt.Sprint(max(u.remaining(), 0).Milliseconds()))
}

// coldService returns a document whose service a limits the calls to cold upstreams.
func coldService(callsPerSecond float64, coldStart time.Duration) config.SectionBody {
	body := sectionBody("a")
	a := &body.Services[0]
	a.ColdCallsPerSecond, a.ColdStartMs, a.HealthPath = callsPerSecond, coldStart.Milliseconds(), "/health"
	return body
}

// addCold adds a VM with an upstream that can be cold, and that can crash.
func (f *fleet) addCold(zone string, down time.Duration) (*coldUpstream, *crashingUpstream) {
	u := &coldUpstream{}
	crashing := f.addCrashing("a", zone, down, func(*http.Request) bool { return false }, u.serve)
	config := crashing.vm.upstream.Config
	serveCalls := config.Handler
	config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			u.serveHealth(w)
			return
		}
		serveCalls.ServeHTTP(w, r)
	})
	return u, crashing
}

// Guards against more calls per second than a cold upstream takes, from several senders:
// after its crash, after an evacuation of its zone, and after a restart of the node
// beside it, which does not know the calls of the process before. Only the health
// endpoint says that the upstream is cold.
func TestColdUpstreamGetsCallsWithinItsLimit(t *testing.T) {
	const (
		limit     = 20
		coldStart = 3 * time.Second
		down      = 500 * time.Millisecond
		// The limit may be exceeded by half and by this number in any second.
		slack = 8
	)
	evacuate := func(f *fleet, u *coldUpstream) {
		f.store.put("evacuate/z1", struct{}{})
		time.Sleep(changeTime)
		u.restart(coldStart)
		f.store.put("evacuate/z1", nil)
	}
	for name, becomeCold := range map[string]func(f *fleet, u *coldUpstream, c *crashingUpstream){
		"crash": func(_ *fleet, u *coldUpstream, c *crashingUpstream) {
			u.restart(down + coldStart)
			c.crash()
		},
		"evacuation": func(f *fleet, u *coldUpstream, _ *crashingUpstream) { evacuate(f, u) },
		"node restart": func(f *fleet, u *coldUpstream, c *crashingUpstream) {
			evacuate(f, u)
			time.Sleep(coldStart / 2)
			c.vm.node.Close()
			c.vm.start()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.store.put("config", version{Number: 2, Body: coldService(limit, coldStart)})
			u, crashing := f.addCold("z1", down)
			crashing.vm.start()
			f.add("b", "z1", respondAfter(0)).start()
			f.add("b", "z2", respondAfter(0)).start()
			f.awaitServing("/safe/x")
			stop := make(chan struct{})
			var served atomic.Int64
			var callers sync.WaitGroup
			for n := range 12 {
				callers.Go(func() { callUntil(stop, f.vms[1+n%2], &served) })
			}
			time.Sleep(500 * time.Millisecond)
			becomeCold(f, u, crashing)
			before := served.Load()
			time.Sleep(max(u.remaining(), 0))
			inCold := served.Load() - before
			time.Sleep(time.Second)
			close(stop)
			callers.Wait()
			if n, allowed := u.arrivals.mostWithin(time.Second), limit*3/2+slack; n > allowed {
				t.Errorf("%d calls in a second reached the cold upstream, want at most %d", n, allowed)
			}
			if after := served.Load() - before - inCold; inCold == 0 || after <= inCold {
				t.Errorf("%d calls served during the cold start and %d in the second after it, want some and more", inCold, after)
			}
		})
	}
}

// callUntil makes calls through a node until stop is closed and counts those served.
func callUntil(stop <-chan struct{}, v *vm, served *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if v.call("GET", "/safe/x").status == http.StatusOK {
			served.Add(1)
		}
	}
}
