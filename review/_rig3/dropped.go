package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// perConn is how many requests a client sends on a connection before it reads the
	// first answer. The first one takes firstWork at the server, the others quickWork.
	perConn   = 4
	firstWork = 800 * time.Millisecond
	quickWork = 30 * time.Millisecond
	// listBytes is the size of their answers.
	listBytes = 30_000
	// listers is how many such clients a machine has.
	listers = 6
	// uploaders is how many clients of a machine upload uploadBytes each time, and
	// burstTimes how many times as many there are in the burst, which lasts burstFor.
	uploaders   = 34
	burstTimes  = 2.6
	burstFor    = 6500 * time.Millisecond
	uploadBytes = 360_000
	uploadWork  = 400 * time.Millisecond
)

// answersDropped plays clients that send further safe requests before the first has been
// answered, beside many users who upload at once.
func answersDropped(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 8, t.rec)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	f.memoryMB = 184
	st := newStore(f.store, t.rec)
	if err := st.open(); err != nil {
		return false, err
	}
	defer st.shut()
	for i, ip := range ips {
		f.add(ip, []string{"north-a", "north-b"}[i%2], "north", []string{"front", "guide", "office", "office"}[i/2])
	}
	var mu sync.Mutex
	ranAt := map[string]string{}
	for i, m := range f.machines {
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, rec: t.rec}
		if m.service == "guide" {
			s.answerBytes = listBytes
		}
		s.workFor = func(path string) time.Duration {
			switch {
			case m.service == "office":
				return uploadWork
			case strings.HasPrefix(path, "/list/first-"):
				return firstWork
			}
			return quickWork
		}
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			ranAt[r.id] = r.instance
		}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	st.putConfig(0x10, []route{
		{name: "r-list", host: "list.example", prefix: "/list/", kind: "safe", service: "guide", timeoutMs: 5000, targetMs: 2000, attempts: 2},
		{name: "r-upload", host: "list.example", prefix: "/upload/", kind: "unsafe", service: "office", timeoutMs: 5000, targetMs: 2000, attempts: 2},
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
	var dropped []string
	answered, refused, uploaded, uploadsRefused := 0, 0, 0, 0
	stop, endBurst, done := make(chan struct{}), make(chan struct{}), sync.WaitGroup{}
	repeat := func(end <-chan struct{}, do func()) {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-end:
					return
				case <-time.After(100 * time.Millisecond):
				}
				do()
			}
		}()
	}
	c := newClient(t.rec)
	text := strings.Repeat("u", uploadBytes)
	upload := func(m *machine) func() {
		return func() {
			a := c.send(m, "POST", "list.example", "/upload/1", text, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				uploaded++
			} else {
				uploadsRefused++
			}
		}
	}
	for _, m := range f.machines[:2] {
		for range listers {
			repeat(stop, func() {
				ok, no, lost := sendAheadOnce(t, m)
				mu.Lock()
				defer mu.Unlock()
				answered += ok
				refused += no
				dropped = append(dropped, lost...)
			})
		}
		for range uploaders {
			repeat(stop, upload(m))
		}
	}
	time.Sleep(4 * time.Second)
	if t.trouble {
		t.rec.add("client", "the burst begins: %g times the uploads", burstTimes)
		for _, m := range f.machines[:2] {
			for range int(math.Floor(uploaders*burstTimes)) - uploaders {
				repeat(endBurst, upload(m))
			}
		}
	}
	time.Sleep(burstFor)
	close(endBurst)
	time.Sleep(3 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	sound := 0
	for _, id := range dropped {
		if at, ok := ranAt[id]; ok {
			sound++
			t.rec.add("judge", "%s was passed on to %s, and its connection was closed without an answer", id, at)
		}
	}
	t.rec.add("judge", "besides: %d uploads were served, %d refused or failed", uploaded, uploadsRefused)
	t.rec.add("judge", "LOST: of the safe requests sent ahead %d were answered, %d refused, %d got no answer; %d of these had been passed on to a server (allowed: 3)", answered, refused, len(dropped), sound)
	fmt.Printf("LOST: %d answered, %d refused, %d without an answer, %d of them passed on to a server (allowed: 3); uploads: %d served, %d not\n", answered, refused, len(dropped), sound, uploaded, uploadsRefused)
	return sound > 3, nil
}

// sendAheadOnce sends perConn requests on one connection and reads their answers. It
// returns how many got an answer of a server and how many a refusal, and the ids of those
// whose connection ended first.
func sendAheadOnce(t *trial, m *machine) (answered, refused int, lost []string) {
	conn, err := net.Dial("tcp", m.addr("outbound"))
	if err != nil {
		return 0, 0, nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	var text strings.Builder
	var ids []string
	for i := range perConn {
		id := newID()
		ids = append(ids, id)
		path := "/list/" + id
		if i == 0 {
			path = "/list/first-" + id
		}
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: list.example\r\nX-Filbertpier-Attempt-Id: %s\r\nX-Filbertpier-Request-Deadline: 5000\r\n\r\n", path, id)
		t.rec.add("client", "sends %s on one connection to %s", id, m.name)
	}
	if _, err := conn.Write([]byte(text.String())); err != nil {
		return 0, 0, nil
	}
	br := bufio.NewReaderSize(conn, 64<<10)
	for i, id := range ids {
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			t.rec.add("client", "%s and the %d behind it get no answer from %s: %v", id, len(ids)-i-1, m.name, err)
			return answered, refused, ids[i:]
		}
		if resp.StatusCode == http.StatusOK {
			answered++
		} else {
			refused++
		}
		t.rec.add("client", "%s gets %d", id, resp.StatusCode)
		if resp.Close {
			return answered, refused, nil
		}
	}
	return answered, refused, nil
}
