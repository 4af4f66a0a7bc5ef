package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of the stand-in's requests and responses.
const (
	// HeaderWork overrides Config.Work for one call, in milliseconds.
	HeaderWork = "X-Standin-Work-Ms"
	// HeaderCrash makes the upstream crash if it is not empty.
	HeaderCrash = "X-Standin-Crash"
	// HeaderVM holds the id of the upstream's VM in responses.
	HeaderVM = "X-Standin-Vm"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	keyShardCount        = 8
)

// Server is the stand-in for an upstream. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	cfg        Config
	slots      chan struct{}
	keys       [keyShardCount]keyShard
	running    atomic.Int64
	completed  atomic.Int64
	maxRunning atomic.Int64
	overSlots  atomic.Int64
	cancelled  atomic.Int64
}

// New returns a stand-in upstream.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	if cfg.Queue {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	return s
}

// ServeHTTP implements http.Handler. The response echoes the request body, or
// holds the VM and the path if the request has none.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/stats" {
		_ = json.NewEncoder(w).Encode(s.Stats())
		return
	}
	if s.slots != nil {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	s.recordRunning(running)
	if key := r.Header.Get(headerIdempotencyKey); key != "" {
		s.keys[xxhash.Sum64String(key)%keyShardCount].add(key)
	}
	if r.Header.Get(HeaderCrash) != "" && s.cfg.Crash != nil {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}
	if !s.work(r) {
		s.cancelled.Add(1)
		return
	}
	s.completed.Add(1)
	w.Header().Set(HeaderVM, s.cfg.VM)
	if r.ContentLength == 0 {
		_, _ = fmt.Fprintf(w, "%s %s\n", s.cfg.VM, r.URL.Path)
		return
	}
	// Without full duplex the HTTP server discards the unread request body once
	// the response has begun, which truncates the echo of a body over 2 KB.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

// Stats returns the counts since the start of the server.
func (s *Server) Stats() Stats {
	stats := Stats{
		Completed: s.completed.Load(), MaxRunning: s.maxRunning.Load(), OverSlots: s.overSlots.Load(), Cancelled: s.cancelled.Load(),
		KeyRuns: map[string]int64{},
	}
	for i := range s.keys {
		s.keys[i].copyTo(stats.KeyRuns)
	}
	return stats
}

// recordRunning counts a call that runs in excess of the slots and updates the
// maximum of running calls.
func (s *Server) recordRunning(running int64) {
	if running > s.cfg.Slots {
		s.overSlots.Add(1)
	}
	for {
		peak := s.maxRunning.Load()
		if running <= peak || s.maxRunning.CompareAndSwap(peak, running) {
			return
		}
	}
}

// work waits for the duration of the call and reports whether the call
// completed, false if it was cancelled.
func (s *Server) work(r *http.Request) bool {
	d := s.cfg.Work
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderWork), 10, 64); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
