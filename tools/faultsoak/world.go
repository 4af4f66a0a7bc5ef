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
	// calmBefore is how long before a moment no fault may have been in force
	// for the bounds in time to hold.
	calmBefore = 4 * time.Second
	readyLimit = 20 * time.Second
)

// world is the installation that a run plays.
type world struct {
	options   options
	dir       string
	store     *standin.Store
	storeGate *storeGate
	storeAddr string
	vms       []*vm
	ledger    *ledger
	verdict   *verdict
	versions  *versions
	finished  atomic.Bool
	// disturbed is when the last fault ended, in Unix nanoseconds; a fault in
	// force puts it into the future.
	disturbed atomic.Int64
	steps     int
}

// newWorld starts the store, the upstreams and the nodes.
func newWorld(o options) (*world, error) {
	dir, err := os.MkdirTemp("", "faultsoak")
	if err != nil {
		return nil, err
	}
	w := &world{options: o, dir: dir, store: standin.NewStore(), ledger: newLedger(), verdict: &verdict{began: time.Now()}}
	w.versions = &versions{store: w.store}
	w.storeGate = &storeGate{next: w.store}
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", o.Subnet))
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.storeGate}).Serve(l) }()
	w.versions.publish()
	zones := map[string]string{}
	for z := range zoneCount {
		zones[fmt.Sprintf("z%d", z)] = fmt.Sprintf("r%d", z)
	}
	for n := range o.VMs {
		if err := w.addVM(n, zones); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addVM(n int, zones map[string]string) error {
	m := &vm{
		world: w, ip: fmt.Sprintf("127.%d.1.%d", w.options.Subnet, n+1), nodeIP: fmt.Sprintf("127.%d.2.%d", w.options.Subnet, n+1),
		zone: fmt.Sprintf("z%d", n%zoneCount),
	}
	service := []string{"a", "b"}[n/zoneCount%2]
	m.upstream = &upstream{world: w, addr: m.addr(upstreamPort), entry: standin.Server{Service: service, Addr: m.addr(upstreamPort), Zone: m.zone, Slots: slots}}
	out, err := w.logFile(m.ip)
	if err != nil {
		return err
	}
	m.out = out
	var seeds []string
	if len(w.vms) > 0 {
		seeds = []string{w.vms[0].addr(controlPort)}
	}
	if err := m.prepare(seeds, zones); err != nil {
		return err
	}
	if err := m.upstream.start(); err != nil {
		return err
	}
	w.vms = append(w.vms, m)
	return m.start()
}

func (w *world) logFile(name string) (*os.File, error) {
	if w.options.Logs == "" {
		return os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	}
	if err := os.MkdirAll(w.options.Logs, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(w.options.Logs, fmt.Sprintf("seed-%d-%s.log", w.options.Seed, name)))
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() bool {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); pause(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.vms {
			if resp, err := http.Get("http://" + m.addr(readyPort) + platform.ReadyPath); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.vms) {
			return true
		}
	}
	return false
}

// disturb notes that a fault is in force for some time.
func (w *world) disturb(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	for {
		old := w.disturbed.Load()
		if old >= until || w.disturbed.CompareAndSwap(old, until) {
			return
		}
	}
}

// calmSince reports whether no fault was in force since a time.
func (w *world) calmSince(t time.Time) bool { return w.disturbed.Load() < t.UnixNano() }

// startCallers starts the callers of all VMs; they end with the context.
func (w *world) startCallers(ctx context.Context, wg *sync.WaitGroup) {
	for _, m := range w.vms {
		for n := range callersPerVM {
			wg.Add(1)
			go func() {
				defer wg.Done()
				newCaller(m, n).run(ctx)
			}()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			newVersionProbe(m).run(ctx)
		}()
	}
}

func (w *world) close() {
	w.finished.Store(true)
	for _, m := range w.vms {
		m.close()
	}
	_ = os.RemoveAll(w.dir)
}
