package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// drain is drain_ms of the deployment.
	drain = 2500 * time.Millisecond
	// servesOn is how long a server that leaves still serves: drain_ms and a little longer.
	servesOn = drain + 100*time.Millisecond
	// otherRegion is the delay one way between two regions.
	otherRegion = 30 * time.Millisecond
	// cutAfter is how long a watch waits before the store cuts it, while it cuts watches.
	cutAfter = 800 * time.Millisecond
	// cutFor is how long the store does so before servers leave.
	cutFor = 4 * time.Second
	// pairs is how many times two servers leave.
	pairs = 3
)

// watchCut plays servers that leave without a report of their own, two at a time, while
// the store cuts waiting watches now and then.
func watchCut(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 9, t.rec)
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
		f.add(ip, []string{"north-a", "central-a", "south-a"}[i%3], []string{"north", "central", "south"}[i%3], "bookings")
		if i%3 != 0 {
			st.delayTo[ip] = otherRegion
		}
	}
	var mu sync.Mutex
	arrived := map[string][]run{}
	var servers []*server
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 150 * time.Millisecond, rec: t.rec}
		s.onArrival = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			arrived[r.instance] = append(arrived[r.instance], r)
		}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		servers = append(servers, s)
		st.put("servers/"+s.id, s.entry("ready"))
	}
	st.putConfig(0x10, []route{{name: "r-book", host: "book.example", prefix: "/book/", kind: "unsafe", service: "bookings", timeoutMs: 1200, targetMs: 1000, attempts: 2}}, []string{"bookings"})
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}

	c := newClient(t.rec)
	sent := map[string]answer{}
	stop, done := make(chan struct{}), sync.WaitGroup{}
	for _, m := range f.machines {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				done.Add(1)
				go func() {
					defer done.Done()
					a := c.send(m, "POST", "book.example", fmt.Sprintf("/book/%d", n), strings.Repeat("x", 200), 2*time.Second)
					mu.Lock()
					defer mu.Unlock()
					sent[a.id] = a
				}()
			}
		}()
	}
	time.Sleep(contact + time.Second)
	removed := map[string]time.Time{}
	for pair := range pairs {
		for end := time.Now().Add(cutFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if t.trouble {
				st.cutWatches(cutAfter)
			}
		}
		for k := range 2 {
			s := servers[2*pair+k]
			removed[s.id] = st.put("servers/"+s.id, nil)
			time.AfterFunc(servesOn, func() {
				t.rec.add("server", "%s exits", s.id)
				s.crash()
			})
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(servesOn + time.Second)
	}
	close(stop)
	done.Wait()

	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range removed {
		n, last := 0, time.Duration(0)
		for _, r := range arrived[id] {
			if d := r.arrived.Sub(at); d > drain {
				n++
				last = max(last, d)
				t.rec.add("judge", "%s reaches %s %.3f s after the ack of its removal; its client sent it %.3f s after that ack", r.id, id, d.Seconds(), sent[r.id].sent.Sub(at).Seconds())
			}
		}
		late += n
		t.rec.add("judge", "DRAIN: %d requests reached %s later than %v after the ack of its removal, the last one %.3f s after it", n, id, drain, last.Seconds())
		fmt.Printf("DRAIN: %d requests reached %s later than %v after the ack of its removal, the last one %.3f s after it\n", n, id, drain, last.Seconds())
	}
	lost := 0
	for _, a := range sent {
		if a.status != 200 && a.status != 503 {
			lost++
		}
	}
	t.rec.add("judge", "besides: %d of %d unsafe requests ended without a known outcome", lost, len(sent))
	return late > 0, nil
}
