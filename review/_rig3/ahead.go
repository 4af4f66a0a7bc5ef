package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// goneAfter is how long a server may still work for a client that has left.
	goneAfter = 500 * time.Millisecond
	// longWork is how long the requests of the case take at a server.
	longWork = 2500 * time.Millisecond
	// leaveAfter is when a client leaves, counted from its first byte.
	leaveAfter = 600 * time.Millisecond
	// ahead is how many requests a client sends before it reads the first answer.
	ahead = 10
)

// sentAhead plays clients that send further safe requests before the first has been
// answered, and that leave before their time limit.
func sentAhead(t *trial) (bool, error) {
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
		f.add(ip, []string{"north-a", "south-a"}[i%2], []string{"north", "south"}[i%2], []string{"front", "guide"}[i/2])
	}
	var mu sync.Mutex
	begun, ended := map[string]time.Time{}, map[string]time.Time{}
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: longWork, rec: t.rec}
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			begun[r.id] = time.Now()
		}
		s.onEnd = func(r run, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			ended[r.id] = time.Now()
		}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	st.putConfig(0x10, []route{{name: "r-list", host: "list.example", prefix: "/list/", kind: "safe", service: "guide", timeoutMs: 6000, targetMs: 4000, attempts: 2}}, []string{"front", "guide"})
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	left := map[string]time.Time{}
	for round := range 6 {
		m := f.machines[round%2]
		var text strings.Builder
		var ids []string
		for range ahead {
			id := newID()
			ids = append(ids, id)
			fmt.Fprintf(&text, "GET /list/%s HTTP/1.1\r\nHost: list.example\r\nX-Filbertpier-Attempt-Id: %s\r\nX-Filbertpier-Request-Deadline: 6000\r\n\r\n", id, id)
			t.rec.add("client", "sends %s on one connection to %s", id, m.name)
		}
		conn, err := net.Dial("tcp", m.addr("outbound"))
		if err != nil {
			return false, err
		}
		if _, err := conn.Write([]byte(text.String())); err != nil {
			return false, err
		}
		time.Sleep(leaveAfter)
		if t.trouble {
			_ = conn.Close()
			t.rec.add("client", "leaves %s", m.name)
			for _, id := range ids {
				left[id] = time.Now()
			}
		} else {
			defer func() { _ = conn.Close() }()
		}
		time.Sleep(longWork)
	}
	time.Sleep(longWork)
	mu.Lock()
	defer mu.Unlock()
	would, still := 0, 0
	for id, at := range left {
		b, ok := begun[id]
		if !ok || b.Add(longWork).Before(at.Add(goneAfter)) {
			continue
		}
		would++
		if e, ok := ended[id]; !ok || e.After(at.Add(goneAfter)) {
			still++
			t.rec.add("judge", "%s: a server worked on it for %.3f s after its client had left", id, ended[id].Sub(at).Seconds())
		}
	}
	t.rec.add("judge", "GONE: of %d idempotent requests that would have lasted half a second after their client left, servers were still at work on %d then; allowed is a quarter", would, still)
	fmt.Printf("GONE: servers still worked on %d of %d requests half a second after their clients had left\n", still, would)
	return 4*still > would, nil
}
