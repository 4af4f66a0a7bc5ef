package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, path, service, instance, from string
	arrived                           time.Time
}

// server is a stand-in for an application server of PROTOCOL.md.
type server struct {
	service, addr, zone string
	slots, queue        int
	rec                 *record
	// onRun is called for each request that the server begins to work on.
	onRun func(run)
	// onArrival is called for each request that reaches the server and names it.
	onArrival func(run)
	// onEnd is called when a run ends, with false if its connection was closed before.
	onEnd func(r run, whole bool)

	mu      sync.Mutex
	id      string
	born    int64
	seq     int
	srv     *http.Server
	conns   map[net.Conn]struct{}
	slot    chan struct{}
	waiting int
	// work is how long a request takes. limit is named as Server-Limit if positive.
	work  time.Duration
	limit float64
	// poison is the path of the request that crashes the server.
	poison  string
	onCrash func()
	// answerBytes is the size of an answer; zero stands for a line of text.
	answerBytes int
	// workFor returns how long a request to a path takes; nil stands for work.
	workFor func(path string) time.Duration
}

func (s *server) open(id string) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id, s.born, s.conns = id, time.Now().UnixMilli(), map[net.Conn]struct{}{}
	s.slot, s.waiting = make(chan struct{}, s.slots), 0
	boot := s.id
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, boot) }), ConnState: s.trackConn, IdleTimeout: 10 * time.Second}
	srv := s.srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.conns, c)
		return
	}
	s.conns[c] = struct{}{}
}

// crash ends the server as a killed process ends: connections are reset and the port
// refuses new ones.
func (s *server) crash() {
	s.mu.Lock()
	srv := s.srv
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = srv.Close()
}

// entry is what the server writes of itself to the store.
func (s *server) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{"address": s.addr, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.seq, "cold_remaining_ms": 0}}
}

func (s *server) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Filbertpier-Attempt-Id", id)
	w.Header().Set("X-Filbertpier-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, boot string) {
	s.mu.Lock()
	slot, limit, work := s.slot, s.limit, s.work
	poison := s.poison != "" && strings.HasPrefix(r.URL.Path, s.poison)
	s.mu.Unlock()
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Filbertpier-Instance-Id", boot)
		return
	}
	id := r.Header.Get("X-Filbertpier-Attempt-Id")
	if want := r.Header.Get("X-Filbertpier-Expected-Instance"); want != "" && want != boot {
		w.Header().Set("X-Filbertpier-Attempt-Id", id)
		w.Header().Set("X-Filbertpier-Instance-Id", boot)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.reject(w, id, http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	if s.onArrival != nil {
		s.onArrival(run{id: id, path: r.URL.Path, service: s.service, instance: boot, arrived: arrived})
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.enqueue() {
		s.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	select {
	case slot <- struct{}{}:
		s.dequeue()
	case <-r.Context().Done():
		s.dequeue()
		return
	}
	defer func() { <-slot }()
	s.rec.add("server", "%s of %s runs %s %s %s", boot, s.service, id, r.Method, r.URL.Path)
	if s.onRun != nil {
		s.onRun(run{id: id, path: r.URL.Path, service: s.service, instance: boot, from: r.Header.Get("X-Filbertpier-Caller-Service"), arrived: arrived})
	}
	if poison {
		s.rec.add("server", "%s of %s crashes by %s", boot, s.service, id)
		s.crash()
		s.onCrash()
		return
	}
	if s.workFor != nil {
		work = s.workFor(r.URL.Path)
	}
	whole := true
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		whole = false
		s.rec.add("server", "%s drops %s: its connection is closed", boot, id)
	}
	if s.onEnd != nil {
		s.onEnd(run{id: id, instance: boot, arrived: arrived}, whole)
	}
	if !whole {
		return
	}
	w.Header().Set("X-Filbertpier-Attempt-Id", id)
	w.Header().Set("X-Filbertpier-Response-Seal", "seal."+id)
	if s.answerBytes > 0 {
		_, _ = w.Write(bytes.Repeat([]byte("a"), s.answerBytes))
		return
	}
	fmt.Fprintf(w, "service=%s instance=%s id=%s body=%d", s.service, boot, id, len(body))
}

func (s *server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.queue {
		return false
	}
	s.waiting++
	return true
}

func (s *server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}
