package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// down is how long the store is silent.
	down = 4500 * time.Millisecond
	// reportGap is the time between two servers' reports after the store's return.
	reportGap = 50 * time.Millisecond
	// recovery is recovery_s of the deployment.
	recovery = 15 * time.Second
)

// lapsedServers plays the final fault of a day, in which all nodes are killed right after
// a change was acknowledged, and the store that is silent some seconds later. The entries of
// the servers lapse meanwhile and are back within 0.3 s of its return. Each region has a
// machine with clients and one with a server, and the requests of a region may run only
// there.
func lapsedServers(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 6, t.rec)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	regions := []string{"kolkata", "haldia", "khulna"}
	st := newStore(f.store, t.rec)
	if err := st.open(); err != nil {
		return false, err
	}
	defer st.shut()
	for i, ip := range ips {
		f.add(ip, regions[i%3]+"-a", regions[i%3], []string{"front", "desk"}[i/3])
	}
	var servers []*server
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 20 * time.Millisecond, rec: t.rec}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		servers = append(servers, s)
		st.put("servers/"+s.id, s.entry("ready"))
	}
	version := func(n, timeoutMs int) {
		var routes []route
		for _, region := range regions {
			routes = append(routes, route{name: "r-" + region, host: region + ".example", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: timeoutMs, targetMs: 500, attempts: 2, regions: []string{region}})
		}
		st.putConfig(n, routes, []string{"front", "desk"})
	}
	version(0x10, 1000)
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
	for _, m := range f.machines[:3] {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := c.send(m, "GET", m.region+".example", fmt.Sprintf("/look/%d", n), "", 2*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(contact + time.Second)

	version(0x12, 1100)
	fault := time.Now()
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(time.Second)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	machinesBack := time.Now()
	time.Sleep(2 * time.Second)
	if t.trouble {
		st.setSilent(true)
		time.Sleep(3 * beat)
		for _, s := range servers {
			st.put("servers/"+s.id, nil)
		}
		time.Sleep(down - 3*beat)
		st.setSilent(false)
		for _, s := range servers {
			time.Sleep(reportGap)
			st.put("servers/"+s.id, s.entry("ready"))
		}
	}
	time.Sleep(time.Until(machinesBack.Add(recovery + 10*time.Second)))
	close(stop)
	done.Wait()

	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	byMachine := map[string]int{}
	for _, a := range answers {
		ok := a.status == 200 && a.sealed
		switch {
		case a.sent.Before(fault):
			before++
			if ok {
				servedBefore++
			}
		case a.sent.After(machinesBack.Add(recovery)):
			after++
			if ok {
				servedAfter++
				byMachine[a.machine.name]++
			}
		}
	}
	t.rec.add("judge", "RECOVER: served were %d of %d requests before the final fault and %d of %d sent later than recovery_s after the machines were back; by machine: %v", servedBefore, before, servedAfter, after, byMachine)
	fmt.Printf("RECOVER: served %d of %d before, %d of %d after; by machine: %v\n", servedBefore, before, servedAfter, after, byMachine)
	return 4*servedBefore >= before && 4*servedAfter < after, nil
}
