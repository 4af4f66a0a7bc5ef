package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment.
const (
	contact     = 4 * time.Second
	configApply = 2500 * time.Millisecond
	grace       = 6 * time.Second
)

// storeRestored plays a drill: the store is away for a moment and comes back from a copy
// that is some seconds old. A version that is acknowledged contact_ms and more after that
// has to be in force config_apply_ms later.
func storeRestored(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 4, t.rec)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	st := newStore(f.store, t.rec)
	if err := st.open(); err != nil {
		return false, err
	}
	defer st.shut()
	for i, ip := range ips {
		f.add(ip, []string{"north-a", "south-a"}[i%2], []string{"north", "south"}[i%2], []string{"roster", "archive"}[i/2])
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
	services := []string{"roster", "archive"}
	version := func(n int, service string, timeoutMs int) time.Time {
		return st.putConfig(n, []route{{name: "r-look", host: "look.example", prefix: "/look/", kind: "safe", service: service, timeoutMs: timeoutMs, targetMs: 500, attempts: 2}}, services)
	}
	version(0x10, "roster", 1000)
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
	time.Sleep(5 * time.Second)

	// Three changes in quick succession, then the drill.
	copyAt := time.Now()
	time.Sleep(time.Second)
	for i := range 3 {
		version(0x12+2*i, "roster", 1100+100*i)
		time.Sleep(300 * time.Millisecond)
	}
	if t.trouble {
		st.shut()
		t.rec.add("store", "is away")
		time.Sleep(time.Second)
		st.restoreCopy(copyAt)
		// The operator writes again what the store has lost: op/config holds one value.
		version(0x16, "roster", 1300)
		if err := st.open(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	acked := version(0x18, "archive", 1300)
	time.Sleep(configApply + 12*time.Second)
	close(stop)
	done.Wait()

	late, old, after := acked.Add(configApply), 0, 0
	byMachine := map[string]int{}
	for _, a := range answers {
		if a.sent.Before(late) || a.status != 200 || !a.sealed {
			continue
		}
		after++
		if strings.HasPrefix(a.body, "service=roster ") {
			old++
			byMachine[a.machine.name]++
		}
	}
	t.rec.add("judge", "CONFIG: of %d served requests sent later than %v after the ack of version 00000018, %d were run by the service of the older version; by machine: %v", after, configApply, old, byMachine)
	fmt.Printf("CONFIG: %d of %d late requests went to the old service; by machine: %v\n", old, after, byMachine)
	if after < 20 {
		return false, fmt.Errorf("only %d requests were served after the change", after)
	}
	return old > 0, nil
}
