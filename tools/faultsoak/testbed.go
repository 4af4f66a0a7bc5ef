package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/platform"
	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	callersPerVM = 4
	zoneCount    = 3
	// faultFreePeriod is how long there must have been no fault before an event
	// for the time limits after it to be checked.
	faultFreePeriod = 4 * time.Second
	readyTimeout    = 20 * time.Second
)

// testbed holds the store, the VMs and the collected results of one run.
type testbed struct {
	options     options
	dir         string
	store       *standin.Store
	faultyStore *faultyStore
	storeAddr   string
	vms         []*vm
	ledger      *ledger
	violations  *violationLog
	publisher   *versionPublisher
	// finished is set before the nodes are killed at the end of the run.
	finished atomic.Bool
	// faultsUntil is when the last fault ended, in Unix nanoseconds. While a fault
	// is active, it is in the future.
	faultsUntil atomic.Int64
	// returns holds the times at which the store was away.
	returns storeReturns
	// steps counts the faults and planned work that were started.
	steps int
}

// newTestbed starts the store, the upstreams and the nodes. If it returns both a
// testbed and an error, the testbed must be closed.
func newTestbed(o options) (*testbed, error) {
	dir, err := os.MkdirTemp("", "faultsoak")
	if err != nil {
		return nil, err
	}
	tb := &testbed{options: o, dir: dir, store: standin.NewStore(), ledger: newLedger(), violations: &violationLog{start: time.Now()}}
	tb.publisher = &versionPublisher{store: tb.store}
	tb.faultyStore = &faultyStore{next: tb.store}
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", o.Subnet))
	if err != nil {
		return nil, err
	}
	tb.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: tb.faultyStore}).Serve(l) }()
	tb.publisher.publish()
	zones := map[string]string{}
	for z := range zoneCount {
		zones[fmt.Sprintf("z%d", z)] = fmt.Sprintf("r%d", z)
	}
	for n := range o.VMs {
		if err := tb.addVM(n, zones); err != nil {
			return tb, err
		}
	}
	return tb, nil
}

func (tb *testbed) addVM(n int, zones map[string]string) error {
	m := &vm{
		testbed: tb, ip: fmt.Sprintf("127.%d.1.%d", tb.options.Subnet, n+1), nodeIP: fmt.Sprintf("127.%d.2.%d", tb.options.Subnet, n+1),
		zone: fmt.Sprintf("z%d", n%zoneCount),
	}
	service := []string{"a", "b"}[n/zoneCount%2]
	m.upstream = &upstream{testbed: tb, addr: m.addr(upstreamPort), entry: standin.Server{Service: service, Addr: m.addr(upstreamPort), Zone: m.zone, Slots: slots}}
	out, err := tb.logFile(m.ip)
	if err != nil {
		return err
	}
	m.logOutput = out
	var seeds []string
	if len(tb.vms) > 0 {
		seeds = []string{tb.vms[0].addr(controlPort)}
	}
	if err := m.prepare(seeds, zones); err != nil {
		return err
	}
	if err := m.upstream.start(); err != nil {
		return err
	}
	tb.vms = append(tb.vms, m)
	return m.start()
}

func (tb *testbed) logFile(name string) (*os.File, error) {
	if tb.options.LogDir == "" {
		return os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	}
	if err := os.MkdirAll(tb.options.LogDir, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(tb.options.LogDir, fmt.Sprintf("seed-%d-%s.log", tb.options.Seed, name)))
}

// awaitReady waits until all nodes are ready. It returns false if they are not
// within readyTimeout.
func (tb *testbed) awaitReady() bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); pause(50 * time.Millisecond) {
		ready := 0
		for _, m := range tb.vms {
			if resp, err := http.Get("http://" + m.addr(readyPort) + platform.ReadyPath); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(tb.vms) {
			return true
		}
	}
	return false
}

// recordFault extends the time during which a fault is active to at least d from
// now.
func (tb *testbed) recordFault(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	for {
		old := tb.faultsUntil.Load()
		if old >= until || tb.faultsUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// faultFreeSince reports whether no fault has been active since t, and the store was not
// away.
func (tb *testbed) faultFreeSince(t time.Time) bool {
	return tb.faultsUntil.Load() < t.UnixNano() && !tb.returns.overlap(t, time.Now())
}

// overdue reports whether an event is longer ago than limit and no fault may have delayed
// the news of it. A zero time is no event.
func (tb *testbed) overdue(event time.Time, limit time.Duration) bool {
	return !event.IsZero() && time.Since(event) >= limit && tb.faultsUntil.Load() < event.Add(-faultFreePeriod).UnixNano()
}

// newsOverdue reports whether overdue holds for an event that the store published, and the
// store was not away before its news had reached the nodes. What they know binds them, also
// if the store then returns from a copy.
func (tb *testbed) newsOverdue(event time.Time, limit time.Duration) bool {
	return tb.overdue(event, limit) && !tb.returns.overlap(event.Add(-faultFreePeriod), event.Add(newsTime))
}

// startCallers starts the callers and the version probe of each VM. They stop
// when the context ends.
func (tb *testbed) startCallers(ctx context.Context, wg *sync.WaitGroup) {
	for _, m := range tb.vms {
		for n := range callersPerVM {
			wg.Go(func() { newCaller(m, n).run(ctx) })
		}
		wg.Go(func() { newAheadCaller(m).run(ctx) })
		wg.Go(func() { newVersionProbe(m).run(ctx) })
	}
}

func (tb *testbed) close() {
	tb.finished.Store(true)
	for _, m := range tb.vms {
		m.close()
	}
	_ = os.RemoveAll(tb.dir)
}
