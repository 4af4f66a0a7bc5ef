package nodes

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/node"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/internal/standin/link"
	"github.com/filbertpier/filbertpier/internal/standin/platformserver"
	"github.com/filbertpier/filbertpier/internal/testkit"
)

const (
	// awaitTimeout bounds each call of Await; nodes start slowly on a loaded machine.
	awaitTimeout = 20 * time.Second
	region       = "north"
)

// addressesUsed counts the loopback addresses that nextIP has returned in this process.
var addressesUsed atomic.Int64

// Cluster is a set of running nodes with their upstreams and a platform. Its
// methods fail the test on errors.
type Cluster struct {
	tb          testing.TB
	spec        Spec
	platform    *http.Server
	platformURL string
	log         hclog.Logger
	VMs         []*VM
}

// Start starts a cluster and waits until all nodes are ready; upstream returns the
// handler of a VM's upstream. The cluster is stopped when the test ends. The
// environment variable FP_TEST_LOG sets the nodes' log level, by default error.
func Start(tb testing.TB, spec Spec, upstream func(vm string) http.Handler) *Cluster {
	tb.Helper()
	level := hclog.LevelFromString(os.Getenv("FP_TEST_LOG"))
	if level == hclog.NoLevel {
		level = hclog.Error
	}
	c := &Cluster{tb: tb, spec: spec, log: hclog.New(&hclog.LoggerOptions{Level: level, Output: os.Stderr})}
	tb.Cleanup(c.stop)
	c.createVMs()
	c.startPlatform()
	for _, v := range c.VMs {
		c.StartUpstream(v, upstream(v.Settings.VM))
		c.StartNode(v)
	}
	for _, v := range c.VMs {
		c.AwaitReady(v)
	}
	return c
}

func (c *Cluster) createVMs() {
	for _, zone := range c.spec.Zones {
		for index := range max(c.spec.VMsPerService, 1) {
			for _, service := range c.spec.Services {
				ip := nextIP()
				v := &VM{Settings: settings.Node{
					VM: fmt.Sprintf("%s-%s-%d", zone, service, index), Zone: zone, Region: region, Service: service,
					Listen:   settings.Listen{Calls: addr(ip, callPort), Peers: addr(ip, peerPort), Admin: addr(ip, adminPort)},
					Upstream: addr(ip, upstreamPort), JoinTimeoutMs: 500, DrainMs: c.spec.DrainMs,
				}}
				if c.spec.Links {
					f, err := link.Listen(ip+":0", v.Settings.Listen.Calls, func(net.Addr) time.Duration { return 0 })
					c.requireNoError(err)
					v.Link, v.Settings.Advertise.Calls = f, f.Addr()
				}
				c.VMs = append(c.VMs, v)
			}
		}
	}
}

// Ports of a VM. They are below the ephemeral port range: nodes dial from the
// VM's address, and with ephemeral ports an outgoing connection took the port on
// which a restarted node was about to listen.
const (
	callPort     = 8080
	peerPort     = 8081
	adminPort    = 8082
	upstreamPort = 8090
)

// nextIP returns a loopback address that differs from those of the last 249 VMs
// of this process and of all test processes whose ids are less than 10,000 away.
func nextIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 60+pid/250%40, 1+pid%250, 1+addressesUsed.Add(1)%250)
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (c *Cluster) startPlatform() {
	p := platformserver.New()
	pub := testkit.NewPublisher()
	raw, err := json.Marshal(pub.SignedByBothLeads(1, c.spec.Sections))
	c.requireNoError(err)
	for _, s := range c.spec.Sections {
		p.Put(platform.SectionKey(manifest.Sum(s.Raw)), s.Raw)
	}
	p.Put(platform.ManifestKey, raw)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.requireNoError(err)
	c.platformURL = "http://" + l.Addr().String()
	c.platform = &http.Server{Handler: p}
	go func() { _ = c.platform.Serve(l) }()
	var keys settings.Keys
	keyRing := pub.Keys()
	keys.Product = []string{base64.StdEncoding.EncodeToString(keyRing[manifest.LeadProduct][0])}
	keys.Operations = []string{base64.StdEncoding.EncodeToString(keyRing[manifest.LeadOperations][0])}
	var list []platform.VM
	for _, v := range c.VMs {
		s := &v.Settings
		s.Keys, s.Platform = keys, settings.Platform{URL: c.platformURL, Region: region}
		s.Seeds = []string{c.VMs[0].Settings.Listen.Peers, c.VMs[len(c.VMs)-1].Settings.Listen.Peers}
		list = append(list, platform.VM{ID: s.VM, Zone: s.Zone, Region: s.Region, Service: s.Service,
			PeerAddr: s.PeerAddr(), CallAddr: s.CallAddr(), State: platform.VMLive})
	}
	p.PutVMs(list)
}

// StartUpstream starts the upstream of a VM with handler h.
func (c *Cluster) StartUpstream(v *VM, h http.Handler) {
	l, err := net.Listen("tcp", v.Settings.Upstream)
	c.requireNoError(err)
	v.upstream = &http.Server{Handler: h}
	go func(s *http.Server) { _ = s.Serve(l) }(v.upstream)
}

// Upstream returns the last started upstream of a VM, so that a test can stop or
// close it.
func (c *Cluster) Upstream(v *VM) *http.Server { return v.upstream }

// StartNode starts the node of a VM. Each start is a new process incarnation.
func (c *Cluster) StartNode(v *VM) {
	s := v.Settings
	n, err := node.Start(&s, c.log)
	c.requireNoError(err)
	v.Node = n
}

// AwaitReady waits until a node is ready and lists the nodes of all VMs as alive.
func (c *Cluster) AwaitReady(v *VM) {
	c.tb.Helper()
	c.Await("node "+v.Settings.VM+" to be ready", func() bool {
		known := 0
		for _, m := range v.Node.Members() {
			if m.Boot != 0 && m.Status == member.Alive {
				known++
			}
		}
		return v.Node.Status().Ready && known >= len(c.VMs)
	})
}

// Await polls until ok returns true. After awaitTimeout it logs the state of all
// nodes and fails the test; condition describes what ok checks.
func (c *Cluster) Await(condition string, ok func() bool) {
	c.tb.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(awaitTimeout); !ok(); <-ticker.C {
		if time.Now().After(deadline) {
			for _, v := range c.VMs {
				c.tb.Logf("%s: %+v\nmembers %+v", v.Settings.VM, v.Node.Status(), v.Node.Members())
			}
			c.tb.Fatalf("timed out waiting for %s", condition)
		}
	}
}

func (c *Cluster) stop() {
	for _, v := range c.VMs {
		if v.Node != nil {
			v.Node.Close()
		}
		if v.upstream != nil {
			_ = v.upstream.Close()
		}
		if v.Link != nil {
			v.Link.Close()
		}
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}

func (c *Cluster) requireNoError(err error) {
	c.tb.Helper()
	if err != nil {
		c.tb.Fatal(err)
	}
}
