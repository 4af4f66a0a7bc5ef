package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key as the store writes it in its responses.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          int    `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// change is one write, kept as the history and as the source of a copy.
type change struct {
	at   time.Time
	item item
}

// store is the platform's metadata store: kv-key, kv-range and kv-watch of PROTOCOL.md,
// with the header Store-Era of the later letter.
type store struct {
	addr string
	rec  *record

	mu       sync.Mutex
	era      int
	revision uint64
	items    map[string]item
	history  []change
	changed  chan struct{}
	// silent is set while the store answers nothing; what was asked then stays unanswered.
	silent bool
	// watchers holds the connections of the waiting watches.
	watchers map[net.Conn]time.Time
	// delayTo is the delay on the way to a machine, by its address.
	delayTo map[string]time.Duration
	srv     *http.Server
	conns   map[net.Conn]struct{}
}

const pageItems = 500

func newStore(addr string, rec *record) *store {
	return &store{addr: addr, rec: rec, era: 1, items: map[string]item{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, watchers: map[net.Conn]time.Time{}, delayTo: map[string]time.Duration{}}
}

func (s *store) open() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	srv := &http.Server{Handler: s.farAway(mux), ConnState: s.trackConn, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	s.mu.Lock()
	s.srv = srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// cutWatches cuts the watches that have waited for some time.
func (s *store) cutWatches(waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c, since := range s.watchers {
		if time.Since(since) >= waited {
			delete(s.watchers, c)
			_ = c.Close()
			n++
		}
	}
	if n > 0 {
		s.rec.add("store", "cuts %d waiting watches", n)
	}
}

// farAway delays each request and each response by the delay between regions if it
// comes from a machine in another region than the store's.
func (s *store) farAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		delay := s.delayTo[host]
		time.Sleep(delay)
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(&delayedWriter{ResponseWriter: w, delay: delay}, r)
	})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// setSilent begins or ends a time in which the store answers nothing.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		// Watches that wait are among what stays unanswered.
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.rec.add("store", "silent: %v", silent)
}

// delayedWriter delays the first byte of a response.
type delayedWriter struct {
	http.ResponseWriter
	delay time.Duration
	begun bool
}

func (w *delayedWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.begun = true
		time.Sleep(w.delay)
	}
	return w.ResponseWriter.Write(b)
}

func (s *store) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.conns, c)
		return
	}
	s.conns[c] = struct{}{}
}

// shut ends the store's process: its port refuses connections and open ones are reset.
func (s *store) shut() {
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

// restoreCopy replaces the contents by what they were at a moment, as the next era.
func (s *store) restoreCopy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	s.items, s.revision = map[string]item{}, 0
	var kept []change
	for _, c := range s.history {
		if c.at.After(at) {
			lost++
			continue
		}
		kept = append(kept, c)
		s.revision = c.item.Revision
		if c.item.Deleted {
			delete(s.items, c.item.Key)
		} else {
			s.items[c.item.Key] = c.item
		}
	}
	s.history = kept
	s.era++
	s.rec.add("store", "back from a copy at revision %d, era %d; %d later writes are lost", s.revision, s.era, lost)
}

// put writes a key (nil deletes it) and returns the moment of the ack.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Revision: s.revision, CreateRevision: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	if value == nil {
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		s.items[key] = i
	}
	now := time.Now()
	s.history = append(s.history, change{at: now, item: i})
	close(s.changed)
	s.changed = make(chan struct{})
	s.rec.add("store", "acks the write of %s as revision %d", key, s.revision)
	return now
}

func (s *store) writeJSON(w http.ResponseWriter, v any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	era := s.era
	s.mu.Unlock()
	if !ok {
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	list := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			list = append(list, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	s.writeJSON(w, map[string]any{"items": list[:min(len(list), pageItems)], "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, conn)
	}()
	for expired := false; ; {
		events := []item{}
		s.mu.Lock()
		at, era, changed, silent := s.revision, s.era, s.changed, s.silent
		if _, ok := s.watchers[conn]; !ok && after <= at {
			s.watchers[conn] = time.Now()
		}
		for _, c := range s.history {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, q.Get("prefix")) {
				events = append(events, c.item)
			}
		}
		s.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case after > at:
			w.Header().Set("Store-Era", strconv.Itoa(era))
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			s.writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// route is one route of a published configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs, attempts     int
	// regions are the only ones in which the route's requests may run; none stands for all.
	regions []string
}

// putConfig publishes a version and returns the moment of its ack.
func (s *store) putConfig(version int, routes []route, services []string) time.Time {
	var rs, ss []map[string]any
	for i, r := range routes {
		entry := map[string]any{"name": r.name, "host": r.host, "prefix": r.prefix, "type": r.kind, "service": r.service,
			"timeout_ms": r.timeoutMs, "target_latency_ms": r.targetMs, "priority": i, "max_attempts": r.attempts}
		if len(r.regions) > 0 {
			entry["allowed_regions"] = r.regions
		}
		rs = append(rs, entry)
	}
	for _, name := range services {
		ss = append(ss, map[string]any{"name": name, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false})
	}
	at := s.put("op/config", map[string]any{"version": fmt.Sprintf("%08x", version), "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	s.rec.add("operator", "version %08x is acknowledged", version)
	return at
}
