package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one sidecar machine: a loopback address, a node of the project and the
// address of the server beside it.
type machine struct {
	name, ip, zone, region, service string
	fleet                           *fleet
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

// fleet is what all machines share.
type fleet struct {
	repo, dir, store string
	ports            map[string]int
	// memoryMB is the memory limit of each node.
	memoryMB int
	zones    map[string]string
	rec      *record
	machines []*machine
}

var portNames = []string{"outbound", "inbound", "ready", "control", "app", "store"}

// newFleet picks a free range of loopback addresses and ports for n machines. Address
// 1 of the range is the store's, the machines follow.
func newFleet(repo, dir string, n int, rec *record) (*fleet, []string, error) {
	for try := range 200 {
		a, b := 64+(os.Getpid()+try*7)%128, (os.Getpid()/128+try*13)%256
		ips := []string{}
		for i := range n + 1 {
			ips = append(ips, fmt.Sprintf("127.%d.%d.%d", a, b, 10+i))
		}
		ports := map[string]int{}
		base := 21000 + (os.Getpid()*11+try*97)%9000
		for i, name := range portNames {
			ports[name] = base + i
		}
		if allFree(ips, ports) {
			return &fleet{memoryMB: 284, repo: repo, dir: dir, store: fmt.Sprintf("%s:%d", ips[0], ports["store"]), ports: ports, zones: map[string]string{}, rec: rec}, ips[1:], nil
		}
	}
	return nil, nil, fmt.Errorf("no free range of loopback addresses and ports")
}

// metricsPort is the port of deploy/system.toml.
const metricsPort = 9464

func allFree(ips []string, ports map[string]int) bool {
	for _, ip := range ips {
		for _, p := range append(values(ports), metricsPort) {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func values(m map[string]int) []int {
	var out []int
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

func (f *fleet) add(ip, zone, region, service string) *machine {
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, len(f.machines)+1), ip: ip, zone: zone, region: region, service: service, fleet: f}
	f.zones[zone] = region
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) addr(port string) string {
	return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports[port])
}

// settings renders the settings file of DEPLOY.md.
func (m *machine) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_id = %q\nrole = \"node\"\nmachine_class = \"sidecar\"\nserves = [\"sidecar\", \"control_plane\"]", m.name)
	line("ip = %q\nzone = %q\nregion = %q", m.ip, m.zone, m.region)
	var seeds []string
	for _, o := range m.fleet.machines[:min(3, len(m.fleet.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.addr("control")))
	}
	line("seeds = [%s]\nbootstrap = false\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"static\"\nheartbeat_ms = 870", strings.Join(seeds, ","))
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"platform\"]")
	line("bounds = [\"seed_lag_s=3\",\"reuse_after_s=2\",\"contact_ms=4000\",\"ack_ms=4000\",\"catch_up_s=4\",\"drain_ms=2500\",\"grace_s=6\",\"loss_slack_ms=200\",\"config_apply_ms=2500\",\"revert_slack_ms=250\",\"outer_ms=5000\",\"retry_budget_ratio=0.2\",\"budget_window_s=10\",\"budget_slack=60\",\"recovery_s=15\"]")
	line("app_addr = %q\nservice = %q\n[zones]", m.addr("app"), m.service)
	for z, r := range m.fleet.zones {
		line("%s = %q", z, r)
	}
	line("[listen_addrs]\ninbound = %q\noutbound = %q\nready_addr = %q\ncontrol = %q", m.addr("inbound"), m.addr("outbound"), m.addr("ready"), m.addr("control"))
	line("[limits]\ncpu_share = 0.32\ncpu_cores = 1\nmemory_mb = %d\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0", m.fleet.memoryMB)
	line("[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0")
	line("[platform]\naddress = %q\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000", m.fleet.store)
	return b.String()
}

// start starts the node with the command of deploy/system.toml.
func (m *machine) start() error {
	file := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(m.fleet.repo, "target/fpsidecar"))
	m.cmd.Dir = m.fleet.repo
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "FILBERTPIER_NODE_FILE=" + file}
	m.cmd.Stdout, m.cmd.Stderr = logFile, logFile
	if err := m.cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.list[m.cmd.Process] = struct{}{}
	started.Unlock()
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		started.Lock()
		delete(started.list, c.Process)
		started.Unlock()
		_ = logFile.Close()
		close(done)
	}(m.cmd, m.exited)
	m.fleet.rec.add("machine", "%s (%s, service %s): node started", m.name, m.ip, m.service)
	return nil
}

// signal sends a signal to the node that this program started.
func (m *machine) signal(s syscall.Signal) {
	_ = m.cmd.Process.Signal(s)
	m.fleet.rec.add("machine", "%s: node gets %s", m.name, s)
}

// stop sends SIGTERM, and SIGKILL after grace, and waits for the end.
func (m *machine) stop(grace time.Duration) {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.fleet.rec.add("machine", "%s: node has ended", m.name)
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.addr("ready") + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// started holds the processes that this program has started and that have not ended.
var started = struct {
	sync.Mutex
	list map[*os.Process]struct{}
}{list: map[*os.Process]struct{}{}}

func killStarted() {
	started.Lock()
	defer started.Unlock()
	for p := range started.list {
		_ = p.Kill()
	}
}

// killAll ends the nodes that are still alive.
func (f *fleet) killAll() {
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		select {
		case <-m.exited:
		default:
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
}
