package main

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lookers is how many clients of a machine make small requests, each on a connection
	// of its own, every lookEvery, with a head of headBytes.
	lookers   = 20
	lookEvery = 60 * time.Millisecond
	headBytes = 12_000
	// uploaders is how many clients of a machine upload uploadBytes each time, and
	// burstTimes how many times as many there are in a burst, which lasts burstFor.
	uploaders   = 54
	burstTimes  = 2.6
	burstFor    = 6500 * time.Millisecond
	uploadBytes = 360_000
	uploadWork  = 1400 * time.Millisecond
)

// properRequestDenied plays ordinary requests with cookies, beside many users who upload
// at once.
func properRequestDenied(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 12, t.rec)
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
		f.add(ip, []string{"north-a", "north-b"}[i%2], "north", []string{"front", "guide", "office"}[min(i/2, 2)])
	}
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 30 * time.Millisecond, rec: t.rec}
		if m.service == "office" {
			s.work = uploadWork
		}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	st.putConfig(0x10, []route{
		{name: "r-list", host: "list.example", prefix: "/list/", kind: "safe", service: "guide", timeoutMs: 5000, targetMs: 2000, attempts: 2},
		{name: "r-upload", host: "list.example", prefix: "/upload/", kind: "unsafe", service: "office", timeoutMs: 6000, targetMs: 4000, attempts: 2},
	}, []string{"front", "guide", "office"})
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	statuses := map[int]int{}
	total, denied := 0, 0
	count := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		total++
		statuses[a.status]++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.sealed {
			denied++
			t.rec.add("judge", "%s is a proper request and got %d from the node", a.id, a.status)
		}
	}
	stop, done := make(chan struct{}), sync.WaitGroup{}
	repeat := func(end <-chan struct{}, every time.Duration, do func()) {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-end:
					return
				case <-time.After(every):
				}
				do()
			}
		}()
	}
	c := newClient(t.rec)
	fresh := newClient(t.rec)
	fresh.http.Transport.(*http.Transport).DisableKeepAlives = true
	fresh.cookie = strings.Repeat("c", headBytes)
	text := strings.Repeat("u", uploadBytes)
	upload := func(m *machine) func() {
		return func() { count(c.send(m, "POST", "list.example", "/upload/1", text, 6*time.Second)) }
	}
	for _, m := range f.machines[:2] {
		for range lookers {
			repeat(stop, lookEvery, func() { count(fresh.send(m, "GET", "list.example", "/list/1", "", 5*time.Second)) })
		}
		for range uploaders {
			repeat(stop, 100*time.Millisecond, upload(m))
		}
	}
	for range 3 {
		time.Sleep(5 * time.Second)
		end := make(chan struct{})
		if t.trouble {
			t.rec.add("client", "a burst begins: %g times the uploads", burstTimes)
			for _, m := range f.machines[:2] {
				for range int(math.Floor(uploaders*burstTimes)) - uploaders {
					repeat(end, 100*time.Millisecond, upload(m))
				}
			}
		}
		time.Sleep(burstFor)
		close(end)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	allowed := 5 + total/500
	t.rec.add("judge", "DENIED: of %d requests, all proper, %d got a 4xx of the node (allowed: %d); answers by status, 0 for none: %v", total, denied, allowed, statuses)
	fmt.Printf("DENIED: %d of %d proper requests got a 4xx of the node (allowed: %d); by status: %v\n", denied, total, allowed, statuses)
	return denied > allowed, nil
}
