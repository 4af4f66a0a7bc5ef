package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store; Value is base64 in JSON.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It is safe for concurrent
// use.
type store struct {
	rec      *record
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore(rec *record) *store {
	return &store{rec: rec, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

func (s *store) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return nil
}

// put writes a key, or deletes it if value is nil. Its return is the ack.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Revision: s.revision, CreateRevision: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	if i.Deleted {
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	s.rec.log("store acks %s (revision %d)", key, s.revision)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		At uint64 `json:"at"`
	}{i, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	reply(w, map[string]any{"items": list, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, map[string]any{"events": events, "at": at})
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

// route is a route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs, attempts     int
}

// configure writes a configuration. Its return is the ack.
func (s *store) configure(version int, services []string, routes ...route) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMs,
			"target_latency_ms": r.targetMs, "priority": 0, "service": r.service, "max_attempts": r.attempts,
		})
	}
	for _, n := range services {
		ss = append(ss, map[string]any{"name": n, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false})
	}
	s.put("op/config", map[string]any{
		"version": strings.Repeat("0", 8-len(strconv.FormatInt(int64(version), 16))) + strconv.FormatInt(int64(version), 16),
		"routes":  rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
