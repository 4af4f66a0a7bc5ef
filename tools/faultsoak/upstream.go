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
	// maxDrainDelay is how long a draining upstream may still get calls after it
	// announced the drain. It keeps serving for drainServeTime.
	maxDrainDelay  = 2500 * time.Millisecond
	drainServeTime = 3500 * time.Millisecond
	// maxEvacuationDelay is how long an upstream may get calls after the evacuation of its
	// zone was requested: the news of it takes the same way as that of a drain.
	maxEvacuationDelay = maxDrainDelay
	// maxLeaveDelay is how long after its caller has left a call may reach an
	// upstream.
	maxLeaveDelay = 500 * time.Millisecond
	maxWorkTime   = 40 * time.Millisecond
	slowWorkTime  = 400 * time.Millisecond
	// Padding makes responses larger than one packet. One response out of
	// largeResponseEvery also gets largePadding, which makes it too large for nodes
	// to send without scheduling (see uplink.SmallResponseBytes).
	maxPadding         = 3000
	largeResponseEvery = 20
	largePadding       = 60_000
)

var headerNames = platform.HeaderNames()

// upstream is the server on a VM that executes calls. It is safe for concurrent
// use.
type upstream struct {
	testbed *testbed
	addr    string
	entry   standin.Server
	faults  upstreamFaults
	running atomic.Int64
	// mu guards the fields below, and entry.ID and entry.Draining.
	mu            sync.Mutex
	server        *http.Server
	drainingSince time.Time
	boots         int
	// evacuatedSince is when the evacuation of the zone was requested; zero if it is not
	// evacuated.
	evacuatedSince time.Time
}

// start listens and publishes the entry under a new instance id.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.boots++
	u.entry.ID = strings.ReplaceAll(u.addr, ":", "-") + "-" + strconv.Itoa(u.boots)
	u.entry.Draining, u.entry.StartedAtMs, u.drainingSince = false, time.Now().UnixMilli(), time.Time{}
	id := u.entry.ID
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, id) })}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
	u.testbed.store.PutServer(u.entry)
	return nil
}

// stop closes the server and all its connections, and removes the entry.
func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.server.Close()
	u.testbed.store.RemoveServer(u.entry.ID)
}

// drain publishes the entry as draining and stops the upstream after
// drainServeTime.
func (u *upstream) drain() {
	u.mu.Lock()
	u.entry.Draining = true
	u.testbed.store.PutServer(u.entry)
	u.drainingSince = time.Now()
	u.mu.Unlock()
	pause(drainServeTime)
	u.stop()
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request, instanceID string) {
	h, id := w.Header(), r.Header.Get(headerNames.AttemptID)
	h.Set(headerNames.AttemptID, id)
	if expected := r.Header.Get(headerNames.ExpectedInstance); expected != "" && expected != instanceID {
		h.Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.checkDrain(id)
	u.checkEvacuation(id)
	u.checkLeft(id)
	if u.running.Add(1) > slots || sampleFault(&u.faults.shed) {
		u.running.Add(-1)
		h.Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.testbed.ledger.update(id, func(a *attempt) { a.executions++ })
	if r.Header.Get(headerNames.CallerService) == "" {
		u.testbed.violations.add("UNASKED", "attempt %s came without the caller's service", id)
	}
	work := rand.N(maxWorkTime)
	if sampleFault(&u.faults.slow) {
		work = slowWorkTime
	}
	pause(work)
	u.respond(w, id, r.URL.Path)
}

func (u *upstream) respond(w http.ResponseWriter, id, path string) {
	if sampleFault(&u.faults.drop) {
		panic(http.ErrAbortHandler)
	}
	size := rand.IntN(maxPadding)
	if rand.IntN(largeResponseEvery) == 0 {
		size += largePadding
	}
	body := []byte(fmt.Sprintf("%s %s %s", id, path, strings.Repeat("x", size)))
	w.Header().Set(headerNames.Seal, seal(id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if sampleFault(&u.faults.truncate) {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// checkDrain reports a call that reaches a draining upstream too late, unless a
// fault may have delayed the drain announcement on its way to the nodes.
func (u *upstream) checkDrain(id string) {
	u.mu.Lock()
	since := u.drainingSince
	u.mu.Unlock()
	if u.testbed.newsOverdue(since, maxDrainDelay) {
		u.testbed.violations.add("DRAIN", "attempt %s reached %s %s after it announced the drain", id, u.entry.ID, time.Since(since))
	}
}

// checkLeft reports a call that reaches the upstream long after its caller has left,
// unless a fault may have delayed it or the news of the caller.
func (u *upstream) checkLeft(id string) {
	var leftAt time.Time
	u.testbed.ledger.update(id, func(a *attempt) { leftAt = a.leftAt })
	if u.testbed.overdue(leftAt, maxLeaveDelay) {
		u.testbed.violations.add("GONE", "attempt %s reached %s %s after its caller had left", id, u.entry.ID, time.Since(leftAt))
	}
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}
