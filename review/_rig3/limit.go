package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// limitPerSecond is the Server-Limit that each server in need names.
	limitPerSecond = 1.0
	limitWindow    = 4 * time.Second
	limitLead      = 500 * time.Millisecond
)

// limitForgotten plays servers in need, which name a Server-Limit in all answers, and
// the kill of single processes: the nodes beside two of the servers. No client uses the
// machines of the killed nodes.
func limitForgotten(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 7, t.rec)
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
		service := "archive"
		if i >= 3 {
			service = "roster"
		}
		f.add(ip, []string{"north-a", "south-a"}[i%2], []string{"north", "south"}[i%2], service)
	}
	var mu sync.Mutex
	arrivals := map[string][]run{}
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 250 * time.Millisecond, rec: t.rec}
		if m.service == "archive" {
			s.limit = limitPerSecond
			s.onArrival = func(r run) {
				mu.Lock()
				defer mu.Unlock()
				arrivals[r.instance] = append(arrivals[r.instance], r)
				t.rec.add("server", "%s gets %s", r.instance, r.id)
			}
		}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	st.putConfig(0x10, []route{{name: "r-fetch", host: "fetch.example", prefix: "/fetch/", kind: "safe", service: "archive", timeoutMs: 2000, targetMs: 1000, attempts: 2}}, []string{"roster", "archive"})
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}

	c := newClient(t.rec)
	answers := map[string]answer{}
	machineOf := map[string]*machine{}
	stop, done := make(chan struct{}), sync.WaitGroup{}
	for _, m := range f.machines[3:] {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				done.Add(1)
				go func() {
					defer done.Done()
					a := c.send(m, "GET", "fetch.example", fmt.Sprintf("/fetch/%d", n), "", 2*time.Second)
					mu.Lock()
					defer mu.Unlock()
					answers[a.id], machineOf[a.id] = a, m
				}()
			}
		}()
	}
	time.Sleep(10 * time.Second)
	if t.trouble {
		for _, m := range f.machines[:2] {
			m.signal(syscall.SIGKILL)
			<-m.exited
			time.Sleep(500 * time.Millisecond)
			if err := m.start(); err != nil {
				return false, err
			}
			time.Sleep(5 * time.Second)
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	done.Wait()

	mu.Lock()
	defer mu.Unlock()
	allowed := int(1.5*limitPerSecond*limitWindow.Seconds()) + 5
	broken := false
	for instance, list := range arrivals {
		worst, at := worstWindow(instance, list, answers, machineOf)
		t.rec.add("judge", "LIMIT: %s names %g a second, allowed are %d requests in 4 s; the most in 4 s are %d, from %.3f s", instance, limitPerSecond, allowed, worst, at.Sub(t.rec.start).Seconds())
		fmt.Printf("LIMIT: %s got %d requests in the worst 4 s, allowed are %d\n", instance, worst, allowed)
		broken = broken || worst > allowed
	}
	return broken, nil
}

// worstWindow returns the most requests that an instance got in 4 s, from contact_ms after
// it first named its limit, counting only requests of machines that had passed on an
// answer with the limit half a second before or earlier.
func worstWindow(instance string, list []run, answers map[string]answer, machineOf map[string]*machine) (worst int, at time.Time) {
	firstPassed := map[*machine]time.Time{}
	var firstNamed time.Time
	for _, a := range answers {
		if !a.limited || !strings.Contains(a.body, "instance="+instance+" ") {
			continue
		}
		if p, ok := firstPassed[a.machine]; !ok || a.done.Before(p) {
			firstPassed[a.machine] = a.done
		}
		if firstNamed.IsZero() || a.done.Before(firstNamed) {
			firstNamed = a.done
		}
	}
	var counted []time.Time
	for _, r := range list {
		m := machineOf[r.id]
		passed, ok := firstPassed[m]
		if m == nil || !ok || r.arrived.Before(passed.Add(limitLead)) || r.arrived.Before(firstNamed.Add(contact)) {
			continue
		}
		counted = append(counted, r.arrived)
	}
	for i := range counted {
		n := 0
		for _, o := range counted {
			if d := o.Sub(counted[i]); d >= 0 && d <= limitWindow {
				n++
			}
		}
		if n > worst {
			worst, at = n, counted[i]
		}
	}
	return worst, at
}
