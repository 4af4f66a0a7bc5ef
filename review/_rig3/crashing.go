package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crashPath is the path of the request that crashes each server that begins to run it.
	crashPath = "/look/crash"
	// serverBack is how long a crashed server is away, beat the interval of its reports.
	serverBack = 3 * time.Second
	beat       = 870 * time.Millisecond
	// moveEvery is the time between two versions that move the route.
	moveEvery = 8 * time.Second
	// copyEvery is the time between two rounds of copies of the crashing request.
	copyEvery = time.Second
)

// crashingRequest plays a request that crashes the servers that run it, and that comes
// again at three machines, while versions move its route to the other two services of the
// deployment, one after the other. The machines are those of crier-mesh: one of each
// service in each of the six zones.
func crashingRequest(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 18, t.rec)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	st := newStore(f.store, t.rec)
	if err := st.open(); err != nil {
		return false, err
	}
	defer st.shut()
	services := []string{"roster", "bookings", "archive"}
	regions := []string{"north", "central", "south"}
	for i, ip := range ips {
		region := regions[i/3%3]
		f.add(ip, region+[]string{"-a", "-b"}[i/9], region, services[i%3])
	}
	// The clients' machines are those of service archive, three of them in three regions.
	clients := []*machine{f.machines[2], f.machines[5], f.machines[8]}
	var mu sync.Mutex
	var crashes []run
	ended := make(chan struct{})
	var returns sync.WaitGroup
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 120 * time.Millisecond, rec: t.rec, poison: crashPath}
		boot := 1
		s.onRun = func(r run) {
			if r.path == crashPath {
				mu.Lock()
				crashes = append(crashes, r)
				mu.Unlock()
			}
		}
		s.onCrash = func() {
			old := s.id
			boot++
			next := fmt.Sprintf("i-%s-%d-boot%d", m.service, i, boot)
			returns.Add(1)
			go func() {
				defer returns.Done()
				// The entry lapses after three intervals without a report.
				select {
				case <-time.After(3 * beat):
				case <-ended:
					return
				}
				st.put("servers/"+old, nil)
				select {
				case <-time.After(serverBack - 3*beat):
				case <-ended:
					return
				}
				if s.open(next) == nil {
					st.put("servers/"+next, s.entry("ready"))
				}
			}()
		}
		if err := s.open(fmt.Sprintf("i-%s-%d-boot1", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	defer returns.Wait()
	defer close(ended)
	version := func(n int, service string) {
		st.putConfig(n, []route{
			{name: "r-look", host: "look.example", prefix: "/look/", kind: "safe", service: service, timeoutMs: 2000, targetMs: 500, attempts: 2},
			{name: "r-pay", host: "pay.example", prefix: "/pay/", kind: "unsafe", service: "bookings", timeoutMs: 2500, targetMs: 1200, attempts: 2},
		}, services)
	}
	version(0x10, services[0])
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)

	c := newClient(t.rec)
	stop, done := make(chan struct{}), sync.WaitGroup{}
	paid, unknown := 0, 0
	every := func(interval time.Duration, do func(n int)) {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				done.Add(1)
				go func() {
					defer done.Done()
					do(n)
				}()
			}
		}()
	}
	every(copyEvery, func(int) {
		var copies sync.WaitGroup
		for _, m := range clients {
			copies.Go(func() { c.send(m, "GET", "look.example", crashPath, "", 2*time.Second) })
		}
		copies.Wait()
	})
	every(10*time.Millisecond, func(n int) {
		c.send(clients[n%3], "GET", "look.example", fmt.Sprintf("/look/%d", n), "", 2*time.Second)
	})
	every(20*time.Millisecond, func(n int) {
		a := c.send(clients[n%3], "POST", "pay.example", fmt.Sprintf("/pay/%d", n), "amount=1", 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 && a.sealed {
			paid++
		} else if a.status == 502 || a.status == 504 || a.status == 0 {
			unknown++
		}
	})
	time.Sleep(moveEvery)
	for i, service := range services[1:] {
		if t.trouble {
			version(0x12+2*i, service)
		}
		time.Sleep(moveEvery)
	}
	close(stop)
	done.Wait()

	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, r := range crashes {
		counts := len(crashes) > 2 && i > 2 && r.arrived.After(crashes[2].arrived.Add(contact))
		if counts {
			late++
		}
		t.rec.add("judge", "crash %d: %s at %.3f s, counted: %v", i+1, r.instance, r.arrived.Sub(t.rec.start).Seconds(), counts)
	}
	t.rec.add("judge", "BUDGET: the request has crashed %d servers; %d runs of it began later than contact_ms after the third crash, allowed are 3", len(crashes), late)
	t.rec.add("judge", "besides: %d unsafe requests were answered by servers, %d got 502, 504 or nothing", paid, unknown)
	fmt.Printf("BUDGET: %d crashes, %d of them by retries later than contact_ms after the third (allowed: 3); unsafe requests: %d served, %d without an outcome\n", len(crashes), late, paid, unknown)
	if len(crashes) < 2 {
		return false, fmt.Errorf("the request reached only %d servers", len(crashes))
	}
	return late > 3, nil
}
