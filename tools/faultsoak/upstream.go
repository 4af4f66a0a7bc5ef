package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/platform"
	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	slots = 6
	// drainBound is how long after the announcement a leaving upstream may
	// still get calls; serveOn is how long it serves.
	drainBound = 2500 * time.Millisecond
	serveOn    = 3500 * time.Millisecond
	maxWork    = 40 * time.Millisecond
	slowWork   = 400 * time.Millisecond
	// padding makes answers larger than one packet; one in largeOne is larger
	// than what is sent without taking turns.
	padding      = 3000
	largeOne     = 20
	largePadding = 60_000
)

var names = platform.HeaderNames()

// upstream is the server on a VM. It is safe for concurrent use.
type upstream struct {
	world   *world
	addr    string
	entry   standin.Server
	faults  upstreamFaults
	running atomic.Int64
	// mu guards the fields below; entry.ID and entry.Draining too.
	mu           sync.Mutex
	server       *http.Server
	drainingFrom time.Time
	boots        int
}

// start listens under a new id and publishes the entry.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.boots++
	u.entry.ID = strings.ReplaceAll(u.addr, ":", "-") + "-" + strconv.Itoa(u.boots)
	u.entry.Draining, u.entry.StartedAtMs, u.drainingFrom = false, time.Now().UnixMilli(), time.Time{}
	id := u.entry.ID
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, id) })}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
	u.world.store.PutServer(u.entry)
	return nil
}

// stop ends the upstream at once.
func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.server.Close()
	u.world.store.RemoveServer(u.entry.ID)
}

// drain announces that the upstream leaves and ends it later.
func (u *upstream) drain() {
	u.mu.Lock()
	u.entry.Draining = true
	u.world.store.PutServer(u.entry)
	u.drainingFrom = time.Now()
	u.mu.Unlock()
	pause(serveOn)
	u.stop()
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request, self string) {
	h, id := w.Header(), r.Header.Get(names.AttemptID)
	h.Set(names.AttemptID, id)
	if want := r.Header.Get(names.ExpectedInstance); want != "" && want != self {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.checkDrain(id)
	if u.running.Add(1) > slots || hit(&u.faults.shed) {
		u.running.Add(-1)
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.world.ledger.with(id, func(a *attempt) { a.runs++ })
	if r.Header.Get(names.CallerService) == "" {
		u.world.verdict.add("UNASKED", "attempt %s came without the caller's service", id)
	}
	work := rand.N(maxWork)
	if hit(&u.faults.slow) {
		work = slowWork
	}
	pause(work)
	u.answer(w, id, r.URL.Path)
}

func (u *upstream) answer(w http.ResponseWriter, id, path string) {
	if hit(&u.faults.lose) {
		panic(http.ErrAbortHandler)
	}
	size := rand.IntN(padding)
	if rand.IntN(largeOne) == 0 {
		size += largePadding
	}
	body := []byte(fmt.Sprintf("%s %s %s", id, path, strings.Repeat("x", size)))
	w.Header().Set(names.Seal, seal(id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if hit(&u.faults.truncate) {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// checkDrain reports a call that comes too late to a leaving upstream, unless a
// fault may have kept the news from the nodes.
func (u *upstream) checkDrain(id string) {
	u.mu.Lock()
	from := u.drainingFrom
	u.mu.Unlock()
	if from.IsZero() || time.Since(from) < drainBound || !u.world.calmSince(from.Add(-calmBefore)) {
		return
	}
	u.world.verdict.add("DRAIN", "attempt %s reached %s %s after it announced to leave", id, u.entry.ID, time.Since(from))
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}
