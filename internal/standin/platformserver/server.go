package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/platform"
)

const (
	shardCount = 8
	// maxRevisions bounds the revisions kept of a key, for stale reads.
	maxRevisions = 64
	// maxValueBytes is the platform's limit of a value.
	maxValueBytes = 1 << 20
	// maxWait bounds a watch.
	maxWait = 60 * time.Second
	// stalePoll is how often a watch looks for a value that was published but
	// is not visible yet because of staleness.
	stalePoll = 50 * time.Millisecond
)

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	mux      *http.ServeMux
	shards   [shardCount]valueShard
	revision atomic.Uint64
	faults   atomic.Pointer[Faults]
	counter  counter
}

// New returns an empty stand-in without faults.
func New() *Server {
	s := &Server{mux: http.NewServeMux()}
	for i := range s.shards {
		s.shards[i].history = map[string][]value{}
		s.shards[i].changed = make(chan struct{})
	}
	s.faults.Store(&Faults{})
	s.mux.HandleFunc("GET /v1/values/{key...}", s.serveValue)
	s.mux.HandleFunc("GET /v1/watch/{key...}", s.serveWatch)
	s.mux.HandleFunc("GET /v1/vms", s.serveVMs)
	s.mux.HandleFunc("PUT /control/values/{key...}", s.servePut)
	s.mux.HandleFunc("PUT /control/vms", s.servePutVMs)
	s.mux.HandleFunc("PUT /control/faults", s.servePutFaults)
	s.mux.HandleFunc("GET /control/stats", s.serveStats)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put publishes a value.
func (s *Server) Put(key string, data []byte) {
	s.shard(key).put(key, value{revision: s.revision.Add(1), data: data, at: time.Now()})
}

// PutVMs publishes the VM list.
func (s *Server) PutVMs(vms []platform.VM) {
	data, err := json.Marshal(vms)
	if err != nil {
		return
	}
	s.Put(platform.VMListKey, data)
}

// SetFaults changes the switches.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Stats returns the counts of reader calls.
func (s *Server) Stats() Stats { return s.counter.get() }

func (s *Server) shard(key string) *valueShard { return &s.shards[xxhash.Sum64String(key)%shardCount] }

// admit counts a reader's call and applies the switches.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.counter.call(time.Now())
	f := s.faults.Load()
	if f.SlowMs > 0 {
		t := time.NewTimer(time.Duration(f.SlowMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return false
		}
	}
	if f.Outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) visibleAt(lagMs int64) time.Time {
	return time.Now().Add(-time.Duration(lagMs) * time.Millisecond)
}

func (s *Server) serveValue(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	key := r.PathValue("key")
	v, ok, _ := s.shard(key).get(key, s.visibleAt(s.faults.Load().StaleMs))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.write(w, v.revision, v.data)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	key := r.PathValue("key")
	if v, ok := s.await(r, key, func() int64 { return s.faults.Load().StaleMs }); ok {
		s.write(w, v.revision, v.data)
		return
	}
	s.unchanged(w, key, s.faults.Load().StaleMs)
}

func (s *Server) serveVMs(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	v, ok := s.await(r, platform.VMListKey, func() int64 { return s.faults.Load().ListLagMs })
	if !ok {
		s.unchanged(w, platform.VMListKey, s.faults.Load().ListLagMs)
		return
	}
	list := platform.VMList{Revision: v.revision}
	if err := json.Unmarshal(v.data, &list.VMs); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	data, _ := json.Marshal(list)
	s.write(w, v.revision, data)
}

// await returns a revision after the one that the request names, waiting as
// long as the request asks.
func (s *Server) await(r *http.Request, key string, lagMs func() int64) (value, bool) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer deadline.Stop()
	s.counter.waiting(1)
	defer s.counter.waiting(-1)
	for {
		v, ok, changed := s.shard(key).get(key, s.visibleAt(lagMs()))
		if ok && v.revision > after {
			return v, true
		}
		poll := time.NewTimer(stalePoll)
		if lagMs() == 0 {
			poll.Stop()
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-deadline.C:
			poll.Stop()
			return value{}, false
		case <-r.Context().Done():
			poll.Stop()
			return value{}, false
		}
		poll.Stop()
	}
}

func (s *Server) unchanged(w http.ResponseWriter, key string, lagMs int64) {
	v, _, _ := s.shard(key).get(key, s.visibleAt(lagMs))
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(v.revision, 10))
	w.WriteHeader(http.StatusNotModified)
}

func (s *Server) write(w http.ResponseWriter, revision uint64, data []byte) {
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(revision, 10))
	n, _ := w.Write(data)
	s.counter.bytes(n)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) servePutVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.PutVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Stats())
}
