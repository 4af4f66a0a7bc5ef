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

// Headers that tell the stand-in what to do with a call.
const (
	// HeaderWork overrides Config.Work, in milliseconds.
	HeaderWork = "X-Standin-Work-Ms"
	// HeaderCrash makes the upstream crash.
	HeaderCrash = "X-Standin-Crash"
	// HeaderVM names the upstream in answers.
	HeaderVM = "X-Standin-Vm"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	keyShardCount        = 8
)

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	cfg       Config
	slots     chan struct{}
	keys      [keyShardCount]keyShard
	running   atomic.Int64
	ran       atomic.Int64
	maxRun    atomic.Int64
	over      atomic.Int64
	cancelled atomic.Int64
}

// New returns a stand-in upstream.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	if cfg.Queue {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	return s
}

// ServeHTTP implements http.Handler. The answer echoes the request's body.
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
	s.note(running)
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
	s.ran.Add(1)
	w.Header().Set(HeaderVM, s.cfg.VM)
	if r.ContentLength == 0 {
		_, _ = fmt.Fprintf(w, "%s %s\n", s.cfg.VM, r.URL.Path)
		return
	}
	// Without this the HTTP server discards the rest of a request body once the
	// answer has begun, and the echo of a body over 2 KB would be cut short.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	stats := Stats{
		Completed: s.ran.Load(), MaxRunning: s.maxRun.Load(), OverSlots: s.over.Load(), Cancelled: s.cancelled.Load(),
		KeyRuns: map[string]int64{},
	}
	for i := range s.keys {
		s.keys[i].copyTo(stats.KeyRuns)
	}
	return stats
}

func (s *Server) note(running int64) {
	if running > s.cfg.Slots {
		s.over.Add(1)
	}
	for {
		high := s.maxRun.Load()
		if running <= high || s.maxRun.CompareAndSwap(high, running) {
			return
		}
	}
}

// work takes the time that the call needs and reports whether it was finished.
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
