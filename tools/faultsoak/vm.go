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
	inboundPort        = 8624
	readyPort          = 8625
	storePort          = 8627
	upstreamPort       = 8628
	outboundPort       = 8629
	controlPort        = 8630
	stopTimeoutSeconds = 3
)

// vm is an upstream with the node beside it. Calls from other nodes and the
// node's requests to the store pass through proxies.
type vm struct {
	testbed *testbed
	// ip is the VM's address. On nodeIP, its node listens for calls from other
	// nodes, which peerProxy forwards.
	ip, nodeIP            string
	zone                  string
	upstream              *upstream
	peerProxy, storeProxy *link.Forwarder
	settingsPath          string
	logOutput             io.WriteCloser
	// mu guards the fields below.
	mu   sync.Mutex
	node *fleet.Process
	// boot counts the starts of the node. Since the last one, disrupted is set if
	// the node was killed or is paused, stopping if it was sent SIGTERM.
	boot                int
	disrupted, stopping bool
	startedAt           time.Time
}

func (m *vm) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func noDelay(net.Addr) time.Duration { return 0 }

// prepare starts the proxies and writes the node's settings file.
func (m *vm) prepare(seeds []string, zones map[string]string) error {
	var err error
	if m.peerProxy, err = link.Listen(m.addr(inboundPort), net.JoinHostPort(m.nodeIP, strconv.Itoa(inboundPort)), noDelay); err != nil {
		return err
	}
	if m.storeProxy, err = link.Listen(m.addr(storePort), m.testbed.storeAddr, noDelay); err != nil {
		return err
	}
	m.settingsPath = filepath.Join(m.testbed.dir, m.ip+".toml")
	text := standin.Settings{
		Node: m.ip, IP: m.ip, Zone: m.zone, Region: zones[m.zone], Service: m.upstream.entry.Service,
		Upstream: m.addr(upstreamPort), Store: m.addr(storePort), Inbound: net.JoinHostPort(m.nodeIP, strconv.Itoa(inboundPort)),
		Outbound: m.addr(outboundPort), Ready: m.addr(readyPort), Control: m.addr(controlPort),
		Seeds: seeds, GraceSeconds: stopTimeoutSeconds, Regions: zones,
	}.Render()
	return os.WriteFile(m.settingsPath, text, 0o600)
}

// start starts the node. It returns a *fleet.LaunchError.
func (m *vm) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, err := fleet.Launch(fleet.ProcessSpec{
		BinDir: m.testbed.options.BinDir, Program: "fpsidecar", Name: "node " + m.ip, Stdout: m.logOutput,
		Env: []string{platform.SettingsEnvVar + "=" + m.settingsPath},
	})
	if err != nil {
		return err
	}
	m.node, m.disrupted, m.stopping, m.startedAt = p, false, false, time.Now()
	m.boot++
	go m.watch(p, m.boot)
	return nil
}

// state returns the node's boot, whether the soak disrupted it or is stopping
// it, and when the node was started.
func (m *vm) state() (boot int, disrupted, stopping bool, startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot, m.disrupted, m.stopping, m.startedAt
}

// signal sends a signal to the node and returns its process. If disruptive is
// set, the boot is marked as disrupted.
func (m *vm) signal(sig syscall.Signal, disruptive bool) *fleet.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disrupted = m.disrupted || disruptive
	m.stopping = m.stopping || sig == syscall.SIGTERM
	m.node.Signal(sig)
	return m.node
}

// restart waits until the node exits and starts it again. A node that still runs
// one second after its stop timeout is reported and killed.
func (m *vm) restart(p *fleet.Process) {
	select {
	case <-p.Done():
	case <-time.After((stopTimeoutSeconds + 1) * time.Second):
		m.testbed.violations.add("STOP", "node %s still runs %d s after SIGTERM", m.ip, stopTimeoutSeconds+1)
		p.Kill()
	}
	if err := m.start(); err != nil {
		m.testbed.violations.add("START", "%v", err)
	}
}

// watch reports a node that exits by itself. If the node has been started again,
// the soak had stopped this boot.
func (m *vm) watch(p *fleet.Process, boot int) {
	<-p.Done()
	currentBoot, disrupted, stopping, _ := m.state()
	if currentBoot == boot && !disrupted && !stopping && !m.testbed.finished.Load() {
		m.testbed.violations.add("EXIT", "node %s exited by itself: %s", m.ip, fmt.Sprint(p.Log))
	}
}

func (m *vm) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node != nil {
		m.node.Signal(syscall.SIGCONT)
		m.node.Kill()
	}
	m.peerProxy.Close()
	m.storeProxy.Close()
	_ = m.upstream.server.Close()
	_ = m.logOutput.Close()
}
