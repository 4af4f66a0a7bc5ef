package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/filbertpier/filbertpier/internal/standin/link"
	"github.com/filbertpier/filbertpier/platform"
	"github.com/filbertpier/filbertpier/platform/standin"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

const (
	inboundPort  = 8624
	readyPort    = 8625
	storePort    = 8627
	upstreamPort = 8628
	outboundPort = 8629
	controlPort  = 8630
	stopSeconds  = 3
)

// vm is an upstream with the node beside it. Calls of other nodes and the
// node's calls of the store pass through proxies.
type vm struct {
	world *world
	// ip is where others find the VM; nodeIP is where its node listens for
	// other nodes, behind the proxy.
	ip, nodeIP   string
	zone         string
	upstream     *upstream
	peers, store *link.Forwarder
	settings     string
	out          io.WriteCloser
	// mu guards the fields below.
	mu   sync.Mutex
	node *fleet.Process
	// boot counts starts of the node; ended is set if the node was killed or
	// paused during it, stopping if it was asked to stop.
	boot            int
	ended, stopping bool
	startedAt       time.Time
}

func (m *vm) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func noDelay(net.Addr) time.Duration { return 0 }

// prepare opens the proxies and writes the settings.
func (m *vm) prepare(seeds []string, zones map[string]string) error {
	var err error
	if m.peers, err = link.Listen(m.addr(inboundPort), net.JoinHostPort(m.nodeIP, strconv.Itoa(inboundPort)), noDelay); err != nil {
		return err
	}
	if m.store, err = link.Listen(m.addr(storePort), m.world.storeAddr, noDelay); err != nil {
		return err
	}
	m.settings = filepath.Join(m.world.dir, m.ip+".toml")
	text := standin.Settings{
		Node: m.ip, IP: m.ip, Zone: m.zone, Region: zones[m.zone], Service: m.upstream.entry.Service,
		Upstream: m.addr(upstreamPort), Store: m.addr(storePort), Inbound: net.JoinHostPort(m.nodeIP, strconv.Itoa(inboundPort)),
		Outbound: m.addr(outboundPort), Ready: m.addr(readyPort), Control: m.addr(controlPort),
		Seeds: seeds, GraceSeconds: stopSeconds, Regions: zones,
	}.Render()
	return os.WriteFile(m.settings, text, 0o600)
}

// start starts the node. It returns a *fleet.LaunchError.
func (m *vm) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, err := fleet.Launch(fleet.ProcessSpec{
		BinDir: m.world.options.Bin, Program: "fpsidecar", Name: "node " + m.ip, Stdout: m.out,
		Env: []string{platform.SettingsEnvVar + "=" + m.settings},
	})
	if err != nil {
		return err
	}
	m.node, m.ended, m.stopping, m.startedAt = p, false, false, time.Now()
	m.boot++
	go m.watch(p, m.boot)
	return nil
}

// state returns the node's start, and whether its end was or is being caused
// by the soak.
func (m *vm) state() (boot int, ended, stopping bool, startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot, m.ended, m.stopping, m.startedAt
}

// signal sends a signal; harm marks the boot as disturbed.
func (m *vm) signal(sig syscall.Signal, harm bool) *fleet.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = m.ended || harm
	m.stopping = m.stopping || sig == syscall.SIGTERM
	m.node.Signal(sig)
	return m.node
}

// restart waits for the node's end, at most for its stop time, and starts it.
func (m *vm) restart(p *fleet.Process) {
	select {
	case <-p.Done():
	case <-time.After((stopSeconds + 1) * time.Second):
		m.world.verdict.add("STOP", "node %s still runs %d s after SIGTERM", m.ip, stopSeconds+1)
		p.Kill()
	}
	if err := m.start(); err != nil {
		m.world.verdict.add("START", "%v", err)
	}
}

// watch reports a node that ends by itself. A later boot means that the soak
// ended this one.
func (m *vm) watch(p *fleet.Process, boot int) {
	<-p.Done()
	now, ended, stopping, _ := m.state()
	if now == boot && !ended && !stopping && !m.world.finished.Load() {
		m.world.verdict.add("EXIT", "node %s ended by itself: %s", m.ip, fmt.Sprint(p.Log))
	}
}

func (m *vm) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node != nil {
		m.node.Signal(syscall.SIGCONT)
		m.node.Kill()
	}
	m.peers.Close()
	m.store.Close()
	_ = m.upstream.server.Close()
	_ = m.out.Close()
}
