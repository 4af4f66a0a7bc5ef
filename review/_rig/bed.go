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

// Ports of every machine. Each machine has a loopback address of its own.
const (
	inboundPort  = 8624
	readyPort    = 8625
	serverPort   = 8628
	outboundPort = 8629
	controlPort  = 8630
	metricsPort  = 9464
	storePort    = 8627
)

// graceSeconds is grace_s of the settings.
const graceSeconds = 6

// bed holds the store, the machines and the record of one run.
type bed struct {
	dir    string
	net    string
	store  *store
	rec    *record
	nodes  []*node
	region map[string]string
}

// node is a machine: the address, the settings and the fpsidecar process.
type node struct {
	bed      *bed
	name, ip string
	zone     string
	service  string
	path     string
	cmd      *exec.Cmd
	done     chan struct{}
	mu       sync.Mutex
}

// newBed starts the store on a loopback network whose ports are free.
func newBed(rec *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, rec: rec, region: map[string]string{}}
	for n := 0; n < 200; n++ {
		b.net = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200+n)%250)
		if free(b.net) {
			break
		}
	}
	b.store = newStore(rec)
	return b, b.store.listen(b.addr(250, storePort))
}

// free reports whether the ports are free on the first addresses of a network.
func free(network string) bool {
	for _, host := range []int{1, 2, 250} {
		for _, port := range []int{inboundPort, readyPort, storePort, serverPort, outboundPort, controlPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (b *bed) addr(host, port int) string { return fmt.Sprintf("%s%d:%d", b.net, host, port) }

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// addNode writes the settings of a machine. storeAddr is where its node reads the
// store; seeds are control addresses.
func (b *bed) addNode(zone, region, service, storeAddr string, zones map[string]string, seeds ...string) (*node, error) {
	host := len(b.nodes) + 1
	n := &node{bed: b, name: fmt.Sprintf("sidecar-%s-%d", zone, host), ip: fmt.Sprintf("%s%d", b.net, host), zone: zone, service: service}
	n.path = filepath.Join(b.dir, n.name+".toml")
	var zoneLines, seedList strings.Builder
	for z, r := range zones {
		fmt.Fprintf(&zoneLines, "%s = %q\n", z, r)
	}
	for i, s := range seeds {
		if i > 0 {
			seedList.WriteString(",")
		}
		fmt.Fprintf(&seedList, "%q", s)
	}
	text := fmt.Sprintf(`node_id = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar","control_plane"]
ip = %q
zone = %q
region = %q
internal_port_range = [7600,7615]
seeds = [%s]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seed_lag_s=3","reuse_after_s=2","contact_ms=4000","ack_ms=4000","catch_up_s=4","drain_ms=2500","grace_s=%d","loss_slack_ms=200","config_apply_ms=2500","revert_slack_ms=250","outer_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack=58","recovery_s=15"]
app_addr = %q
service = %q
[zones]
%s[listen_addrs]
inbound = %q
outbound = %q
ready_addr = %q
control = %q
[limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, n.name, n.ip, zone, region, seedList.String(), graceSeconds, n.addr(serverPort), service, zoneLines.String(),
		n.addr(inboundPort), n.addr(outboundPort), n.addr(readyPort), n.addr(controlPort), storeAddr)
	b.nodes = append(b.nodes, n)
	return n, os.WriteFile(n.path, []byte(text), 0o600)
}

// start runs the program of the deploy file on the machine.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.Create(filepath.Join(n.bed.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.cmd = exec.Command("target/fpsidecar")
	n.cmd.Env = append(os.Environ(), "FILBERTPIER_NODE_FILE="+n.path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// signal sends a signal to the machine's own process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// ready reports whether the node answers the readiness question with 200.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.addr(readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func (b *bed) startAll() error {
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range b.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(b.nodes) {
			b.rec.log("%d nodes are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after 20 s")
}

// close kills the processes that the run started, by their ids.
func (b *bed) close() {
	for _, n := range b.nodes {
		if n.done == nil {
			continue
		}
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(b.dir, keep)
	}
	_ = os.RemoveAll(b.dir)
}
