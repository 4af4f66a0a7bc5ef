package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// configChange is a change of the configuration as versionRefused plays it: the route of the lookups moves to
// service, and the route of the bundles gets a timeout and a name.
type configChange struct {
	version         int
	service         string
	bundleTimeoutMs int
	bundleName      string
}

// versionRefused plays changes of the configuration that the store accepts: one sets the
// timeout of a route to a quarter of an hour, one gives a route a name with a slash.
func versionRefused(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 6, t.rec)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	st := newStore(f.store, t.rec)
	if err := st.open(); err != nil {
		return false, err
	}
	defer st.shut()
	services := []string{"roster", "archive", "bookings"}
	for i, ip := range ips {
		f.add(ip, []string{"north-a", "south-a"}[i%2], []string{"north", "south"}[i%2], services[i/2])
	}
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 20 * time.Millisecond, rec: t.rec}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	publish := func(c configChange) time.Time {
		return st.putConfig(c.version, []route{
			{name: "r-look", host: "look.example", prefix: "/look/", kind: "safe", service: c.service, timeoutMs: 1000, targetMs: 500, attempts: 2},
			{name: c.bundleName, host: "look.example", prefix: "/bundle/", kind: "download", service: "archive", timeoutMs: c.bundleTimeoutMs, targetMs: 5000, attempts: 2},
		}, services)
	}
	publish(configChange{0x10, "roster", 60_000, "r-bundle"})
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	c := newClient(t.rec)
	var mu sync.Mutex
	var answers []answer
	stop, done := make(chan struct{}), sync.WaitGroup{}
	for _, m := range f.machines {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := c.send(m, "GET", "look.example", fmt.Sprintf("/look/%d", n), "", 2*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(contact + time.Second)
	changes := []configChange{{0x12, "archive", 600_000, "r-bundle"}, {0x14, "bookings", 60_000, "bundles-viti-levu"}}
	if t.trouble {
		changes[0].bundleTimeoutMs = 900_000
		changes[1].bundleName = "bundles/viti-levu"
	}
	broken := false
	for _, change := range changes {
		acked := publish(change)
		time.Sleep(configApply + 8*time.Second)
		mu.Lock()
		old, after := 0, 0
		for _, a := range answers {
			if a.sent.Before(acked.Add(configApply)) || a.status != 200 || !a.sealed {
				continue
			}
			after++
			if !strings.HasPrefix(a.body, "service="+change.service+" ") {
				old++
			}
		}
		mu.Unlock()
		t.rec.add("judge", "CONFIG: of %d served requests sent later than %v after the ack of version %08x, %d were run by the service of an older version", after, configApply, change.version, old)
		fmt.Printf("CONFIG: version %08x (timeout %d ms, name %q): %d of %d late requests went to an older version's service\n", change.version, change.bundleTimeoutMs, change.bundleName, old, after)
		if after < 20 {
			return false, fmt.Errorf("only %d requests were served after the change", after)
		}
		broken = broken || old > 0
	}
	close(stop)
	done.Wait()
	return broken, nil
}
