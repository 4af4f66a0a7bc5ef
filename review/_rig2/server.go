package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's pages.
const (
	headerAttempt  = "X-Filbertpier-Attempt-Id"
	headerDeadline = "X-Filbertpier-Request-Deadline"
	headerInstance = "X-Filbertpier-Expected-Instance"
	headerSeal     = "X-Filbertpier-Response-Seal"
	headerNotRun   = "X-Filbertpier-Not-Executed"
	headerCaller   = "X-Filbertpier-Caller-Service"
)

// appServer is a sound server of a service. The path of a request says how long it works
// and how long its answer is: /PREFIX/WORK_MS-BYTES/ANYTHING.
type appServer struct {
	id, service, addr string
	slots             chan struct{}
	rec               *record
	http              *http.Server
	// rejectsEarly is set while the server rejects earlyShare of the requests with a body
	// before they are in, and reads the rest of the body later; early counts them.
	rejectsEarly atomic.Bool
	early        atomic.Int64
	// cutsOff is set while the server breaks off cutShare of its answers; cutOff holds the
	// ids of these requests.
	cutsOff atomic.Bool
	cutOff  sync.Map
	mu      sync.Mutex
	// runs holds the runs by attempt id.
	runs map[string][]*run
}

// run is the work of a server on one request.
type run struct {
	server     string
	began, end time.Time
	// broken is set if the connection of the request closed during the work.
	broken bool
}

func startServer(id, service, addr string, slots int, rec *record) (*appServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &appServer{id: id, service: service, addr: addr, slots: make(chan struct{}, slots), rec: rec, runs: map[string][]*run{}}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *appServer) close() { _ = s.http.Close() }

func (s *appServer) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("X-Filbertpier-Instance-Id", s.id)
		return
	}
	id := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, id)
	refuse := func(status int) {
		h.Set(headerNotRun, "1")
		w.WriteHeader(status)
		s.rec.line("server %s refuses %s with %d", s.id, id, status)
	}
	if want := r.Header.Get(headerInstance); want != "" && want != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if r.ContentLength != 0 && s.rejectsEarly.Load() && rand.Float64() < earlyShare {
		s.early.Add(1)
		s.rejectEarly(w, r, refuse)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.rec.line("server %s gets a part of the body of %s: %v", s.id, id, err)
		return
	}
	work, size := parseWork(r.URL.Path)
	this := s.begin(id)
	s.rec.line("server %s begins %s, work %s", s.id, id, work)
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		s.finish(this, true)
		s.rec.line("server %s drops %s: its connection closed", s.id, id)
		return
	}
	s.finish(this, false)
	s.rec.line("server %s has answered %s", s.id, id)
	body := answerBody(id, size)
	h.Set(headerSeal, seal(body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if s.cutsOff.Load() && rand.Float64() < cutShare {
		s.cutOff.Store(id, true)
		s.rec.line("server %s breaks off %s", s.id, id)
		// net/http closes the connection of an answer that is too short.
		body = body[:len(body)-1]
	}
	_, _ = w.Write(body)
}

// rejectEarly answers before the body is in, keeps the connection and reads on later.
func (s *appServer) rejectEarly(w http.ResponseWriter, r *http.Request, refuse func(status int)) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Content-Length", "0")
	refuse(http.StatusServiceUnavailable)
	_ = control.Flush()
	time.Sleep(20 * time.Millisecond)
	_, _ = io.Copy(io.Discard, r.Body)
}

// hasCutOff reports whether the server has broken off its answer to a request.
func (s *appServer) hasCutOff(id string) bool {
	_, ok := s.cutOff.Load(id)
	return ok
}

func (s *appServer) begin(id string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	this := &run{server: s.id, began: time.Now()}
	s.runs[id] = append(s.runs[id], this)
	return this
}

func (s *appServer) finish(r *run, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.end, r.broken = time.Now(), broken
}

// runsOf returns copies of the runs of a request.
func (s *appServer) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []run
	for _, r := range s.runs[id] {
		out = append(out, *r)
	}
	return out
}

func parseWork(path string) (work time.Duration, size int) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) < 2 {
		return 0, 0
	}
	ms, bytes, _ := strings.Cut(parts[1], "-")
	n, _ := strconv.Atoi(ms)
	size, _ = strconv.Atoi(bytes)
	return time.Duration(n) * time.Millisecond, size
}

// answerBody returns the body of the answer to a request, which begins with its id.
func answerBody(id string, size int) []byte {
	body := make([]byte, 0, size+len(id)+1)
	body = append(body, id...)
	body = append(body, '\n')
	for len(body) < size {
		body = append(body, 'x')
	}
	return body
}

func seal(body []byte) string { return fmt.Sprintf("%x.%x", len(body), crc32.ChecksumIEEE(body)) }
