//go:build crowd

package crowd

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

// firstNodeSubnet is the second octet of the addresses of the first fpnode under test.
const firstNodeSubnet = 78

// node is an fpnode process, or why it could not be started.
type node struct {
	process *fleet.Process
	vm      fleet.VM
	err     error
}

// startNode starts an fpnode, whose limits are memoryMB and maxDescriptors, with its
// upstream and a stand-in for the platform.
func startNode(t *testing.T, subnet int) node {
	publisher, err := fleet.NewPublisher()
	if err != nil {
		return node{err: err}
	}
	f, err := fleet.Start(fleet.Spec{
		BinDir: binDir, Regions: []fleet.Region{{Name: "r", Zones: []string{"z"}}}, PlatformRegion: "r", Services: []string{"s"},
		VMsPerService: 1, Slots: 8, ProcessingTime: time.Millisecond, Subnet: subnet, LogLevel: "info", DecisionsEvery: 100,
		JoinTimeout: time.Second, NodeMemoryBytes: memoryMB << 20, NodeMaxDescriptors: maxDescriptors,
	}, publisher)
	if err != nil {
		return node{err: err}
	}
	t.Cleanup(f.Stop)
	if err := f.StartUpstreams(); err != nil {
		return node{err: err}
	}
	document := []config.Section{{Name: "s", Owner: "o", Raw: []byte(`{"section": "s", "owner": "o",
		"ranks": [{"name": "normal", "order": 0, "targetMs": 1000, "worth": 1}],
		"services": [{"name": "s", "selector": "s", "slots": 8, "connections": 100}],
		"routes": [{"name": "r", "pathPrefix": "/s", "service": "s", "rank": "normal", "idempotent": true, "timeoutMs": 5000}]}`)}}
	if _, err := publisher.Publish(f.PlatformURL(), 1, document); err != nil {
		return node{err: err}
	}
	vm := f.VMs[0]
	if err = f.StartNodes(); err != nil {
		// A node without peers reads the platform after up to 20 s, as long as StartNodes
		// waits.
		err = f.AwaitReady(vm)
	}
	return node{process: f.Nodes[vm.ID], vm: vm, err: err}
}

// startNodes starts one fpnode for each attack. A node that starts alone takes up to 20 s
// to read the platform, so they start together.
func startNodes(t *testing.T) []node {
	nodes := make([]node, len(attacks))
	var starts sync.WaitGroup
	for i := range nodes {
		starts.Go(func() { nodes[i] = startNode(t, firstNodeSubnet+i) })
	}
	starts.Wait()
	for _, n := range nodes {
		if n.err != nil {
			t.Fatal(n.err)
		}
	}
	return nodes
}

// Guards against a crowd at the call port or at the administration port of fpnode that
// ends the process, exceeds its memory or its descriptors, or shuts ordinary callers out.
func TestNodeBearsCrowds(t *testing.T) {
	for _, l := range []struct {
		name, path string
		url        func(fleet.VM) string
	}{
		{"calls, routed", "/s/x", fleet.VM.CallURL},
		{"calls, no route", "/elsewhere", fleet.VM.CallURL},
		{"administration", "/readyz", fleet.VM.AdminURL},
	} {
		t.Run(l.name, func(t *testing.T) {
			nodes := startNodes(t)
			for i, a := range attacks {
				t.Run(a.name, func(t *testing.T) {
					vm := nodes[i].vm
					at := target{addr: strings.TrimPrefix(l.url(vm), "http://"), host: "h", path: l.path}
					checkCrowd(t, watch(t, nodes[i].process), a, at, func() bool { return servedByNode(vm) })
				})
			}
		})
	}
}

// servedByNode sends a request as an ordinary caller and reports whether it was served.
func servedByNode(v fleet.VM) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Post(v.CallURL()+"/s/ordinary", "", strings.NewReader(strings.Repeat("x", 1000)))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
