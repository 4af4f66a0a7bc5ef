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
	// maxRevisions is how many revisions of a key are kept for stale reads.
	maxRevisions = 64
	// maxValueBytes is the platform's limit on the size of a value.
	maxValueBytes = 1 << 20
	// maxWatchWait limits the duration of a watch.
	maxWatchWait = 60 * time.Second
	// lagPollInterval is how often a watch checks whether a published value has
	// become visible while Faults.StaleMs or Faults.ListLagMs delays it.
	lagPollInterval = 50 * time.Millisecond
)

// Server is the stand-in for the platform. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	mux      *http.ServeMux
	shards   [shardCount]valueShard
	revision atomic.Uint64
	faults   atomic.Pointer[Faults]
	counter  counter
}

// New returns a server without values and without injected faults.
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

// Put publishes a value under a new revision.
func (s *Server) Put(key string, data []byte) {
	s.shard(key).put(key, value{revision: s.revision.Add(1), data: data, publishedAt: time.Now()})
}

// PutVMs publishes the VM list under a new revision.
func (s *Server) PutVMs(vms []platform.VM) {
	data, err := json.Marshal(vms)
	if err != nil {
		return
	}
	s.Put(platform.VMListKey, data)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Stats returns the current counts of reads.
func (s *Server) Stats() Stats { return s.counter.current() }

func (s *Server) shard(key string) *valueShard { return &s.shards[xxhash.Sum64String(key)%shardCount] }

// applyFaults counts a read, applies the injected slowness and outage, and
// reports whether the read should be served.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.counter.countRead(time.Now())
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

// visibilityCutoff returns the publication time up to which values are visible.
func (s *Server) visibilityCutoff(lagMs int64) time.Time {
	return time.Now().Add(-time.Duration(lagMs) * time.Millisecond)
}

func (s *Server) serveValue(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	key := r.PathValue("key")
	v, ok, _ := s.shard(key).getAsOf(key, s.visibilityCutoff(s.faults.Load().StaleMs))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeValue(w, v.revision, v.data)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	key := r.PathValue("key")
	if v, ok := s.waitForRevision(r, key, func() int64 { return s.faults.Load().StaleMs }); ok {
		s.writeValue(w, v.revision, v.data)
		return
	}
	s.writeUnchanged(w, key, s.faults.Load().StaleMs)
}

func (s *Server) serveVMs(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	v, ok := s.waitForRevision(r, platform.VMListKey, func() int64 { return s.faults.Load().ListLagMs })
	if !ok {
		s.writeUnchanged(w, platform.VMListKey, s.faults.Load().ListLagMs)
		return
	}
	list := platform.VMList{Revision: v.revision}
	if err := json.Unmarshal(v.data, &list.VMs); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	data, _ := json.Marshal(list)
	s.writeValue(w, v.revision, data)
}

// waitForRevision returns the newest visible revision of a key if it is newer
// than the query parameter "after". It waits up to "waitMs" milliseconds for one
// and returns false if none becomes visible or the client disconnects.
func (s *Server) waitForRevision(r *http.Request, key string, lagMs func() int64) (value, bool) {
	afterRevision, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer deadline.Stop()
	s.counter.addWatches(1)
	defer s.counter.addWatches(-1)
	for {
		v, ok, changed := s.shard(key).getAsOf(key, s.visibilityCutoff(lagMs()))
		if ok && v.revision > afterRevision {
			return v, true
		}
		poll := time.NewTimer(lagPollInterval)
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

// writeUnchanged responds with status 304 and the newest visible revision.
func (s *Server) writeUnchanged(w http.ResponseWriter, key string, lagMs int64) {
	v, _, _ := s.shard(key).getAsOf(key, s.visibilityCutoff(lagMs))
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(v.revision, 10))
	w.WriteHeader(http.StatusNotModified)
}

func (s *Server) writeValue(w http.ResponseWriter, revision uint64, data []byte) {
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(revision, 10))
	n, _ := w.Write(data)
	s.counter.addBytes(n)
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
