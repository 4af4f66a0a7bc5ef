package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/standin/link"
)

const (
	// seedCount is the number of VMs that every node has as seeds.
	seedCount = 3
	// readyTimeout bounds the wait until a process is ready.
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	platformPort = 8500
)

// Fleet is a running fleet. Its methods are not safe for concurrent use; those of
// its processes are.
type Fleet struct {
	spec      Spec
	publisher *Publisher
	VMs       []VM
	Platform  *Process
	Link      *Process
	// Nodes and Upstreams hold the processes by VM id; standalone upstreams have
	// the ids bare-0, bare-1 and so on, by their index.
	Nodes     map[string]*Process
	Upstreams map[string]*Process
}

// Start launches the platform stand-in and, if there are delays, the link, and
// publishes the VM list. Upstreams and nodes are started by StartUpstreams and
// StartNodes. It returns a *LaunchError.
func Start(spec Spec, publisher *Publisher) (*Fleet, error) {
	f := &Fleet{spec: spec, publisher: publisher, Nodes: map[string]*Process{}, Upstreams: map[string]*Process{}}
	f.createVMs()
	if err := f.startStandIns(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// createVMs creates the VMs of all zones and assigns their addresses.
func (f *Fleet) createVMs() {
	zone := 0
	for _, region := range f.spec.Regions {
		for _, z := range region.Zones {
			zone++
			n := 0
			for range f.spec.VMsPerService {
				for _, service := range f.spec.Services {
					n++
					f.VMs = append(f.VMs, VM{
						ID: fmt.Sprintf("%s-%d", z, n), Zone: z, Region: region.Name, Service: service,
						IP:     fmt.Sprintf("127.%d.%d.%d", f.spec.Subnet, zone, n),
						LinkIP: fmt.Sprintf("127.%d.%d.%d", f.spec.Subnet, 100+zone, n),
					})
				}
			}
		}
	}
}

func (f *Fleet) usesLink() bool { return f.spec.InterZoneDelay > 0 || f.spec.InterRegionDelay > 0 }

func (f *Fleet) peerAddr(v VM) string {
	if f.usesLink() {
		return v.linkAddr(peerPort)
	}
	return v.addr(peerPort)
}

func (f *Fleet) platformAddr() string {
	return fmt.Sprintf("127.%d.0.1:%d", f.spec.Subnet, platformPort)
}

// PlatformURL returns the base URL of the platform stand-in.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddr() }

func (f *Fleet) startStandIns() error {
	var err error
	if f.Platform, err = startProcess(f.spec.BinDir, "fpplatform", "platform", nil, "--listen", f.platformAddr()); err != nil {
		return err
	}
	if err := awaitStatus(f.PlatformURL()+"/control/stats", http.StatusOK, "platform"); err != nil {
		return err
	}
	if f.usesLink() {
		if err := f.startLink(); err != nil {
			return err
		}
	}
	return f.PublishVMs(nil)
}

func (f *Fleet) startLink() error {
	var routes []link.Route
	for _, to := range f.VMs {
		delays := map[string]int64{}
		for _, from := range f.VMs {
			switch {
			case from.Region != to.Region:
				delays[from.IP] = f.spec.InterRegionDelay.Microseconds()
			case from.Zone != to.Zone:
				delays[from.IP] = f.spec.InterZoneDelay.Microseconds()
			}
		}
		for _, port := range []int{callPort, peerPort} {
			routes = append(routes, link.Route{Listen: to.linkAddr(port), Target: to.addr(port), Delays: delays})
		}
	}
	raw, err := json.Marshal(routes)
	if err != nil {
		return &LaunchError{Process: "link", Err: err}
	}
	f.Link, err = startProcess(f.spec.BinDir, "fplink", "link", raw)
	return err
}

// PublishVMs publishes the VM list without the VMs whose ids are in excluded.
func (f *Fleet) PublishVMs(excluded map[string]bool) error {
	var list []platform.VM
	for _, v := range f.VMs {
		if excluded[v.ID] {
			continue
		}
		entry := platform.VM{ID: v.ID, Zone: v.Zone, Region: v.Region, Service: v.Service,
			PeerAddr: v.addr(peerPort), CallAddr: v.addr(callPort), State: platform.VMLive}
		if f.usesLink() {
			entry.PeerAddr, entry.CallAddr = v.linkAddr(peerPort), v.linkAddr(callPort)
		}
		list = append(list, entry)
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return &LaunchError{Process: "VM list", Err: err}
	}
	return put(f.PlatformURL()+"/control/vms", raw)
}

// StartUpstreams launches all upstreams.
func (f *Fleet) StartUpstreams() error {
	for _, v := range f.VMs {
		p, err := startProcess(f.spec.BinDir, "fpupstream", "upstream "+v.ID, nil, "--listen", v.addr(upstreamPort), "--vm", v.ID,
			"--slots", strconv.Itoa(f.spec.Slots), "--work", f.spec.ProcessingTime.String())
		if err != nil {
			return err
		}
		f.Upstreams[v.ID] = p
	}
	return nil
}

// StartStandaloneUpstream launches an upstream without a node and returns its base
// URL; calls beyond its slots queue. index distinguishes several such upstreams.
func (f *Fleet) StartStandaloneUpstream(index int) (string, error) {
	id := fmt.Sprintf("bare-%d", index)
	addr := fmt.Sprintf("127.%d.0.%d:%d", f.spec.Subnet, 100+index, upstreamPort)
	p, err := startProcess(f.spec.BinDir, "fpupstream", "upstream "+id, nil, "--listen", addr, "--vm", id,
		"--slots", strconv.Itoa(f.spec.Slots), "--work", f.spec.ProcessingTime.String(), "--queue")
	if err != nil {
		return "", err
	}
	f.Upstreams[id] = p
	return "http://" + addr, awaitStatus("http://"+addr+"/standin/stats", http.StatusOK, "upstream "+id)
}

// StartNode launches the node of one VM without waiting until it is ready.
func (f *Fleet) StartNode(v VM) error {
	raw, err := f.nodeSettings(v)
	if err != nil {
		return &LaunchError{Process: "node " + v.ID, Err: err}
	}
	p, err := startProcess(f.spec.BinDir, "fpnode", "node "+v.ID, raw, "--settings=-")
	if err != nil {
		return err
	}
	f.Nodes[v.ID] = p
	return nil
}

// StartNodes launches all nodes and waits until they are ready. It returns a
// *LaunchError or a *NotReadyError.
func (f *Fleet) StartNodes() error {
	for _, v := range f.VMs {
		if err := f.StartNode(v); err != nil {
			return err
		}
	}
	for _, v := range f.VMs {
		if err := f.AwaitReady(v); err != nil {
			return &NotReadyError{VM: v.ID, Log: f.Nodes[v.ID].Log.String()}
		}
	}
	return nil
}

// AwaitReady waits until a node is ready to serve calls.
func (f *Fleet) AwaitReady(v VM) error {
	return awaitStatus(v.AdminURL()+"/readyz", http.StatusNoContent, "node "+v.ID)
}

// WriteLogs writes the log of each node to <folder>/<VM id>.log.
func (f *Fleet) WriteLogs(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return &LaunchError{Process: "log folder", Err: err}
	}
	for id, p := range f.Nodes {
		if err := os.WriteFile(filepath.Join(folder, id+".log"), []byte(p.Log.String()), 0o644); err != nil {
			return &LaunchError{Process: "log of " + id, Err: err}
		}
	}
	return nil
}

// Stop kills all processes of the fleet.
func (f *Fleet) Stop() {
	all := []*Process{f.Platform, f.Link}
	for _, p := range f.Nodes {
		all = append(all, p)
	}
	for _, p := range f.Upstreams {
		all = append(all, p)
	}
	for _, p := range all {
		if p != nil {
			p.Kill()
		}
	}
}

func awaitStatus(url string, status int, process string) error {
	deadline := time.Now().Add(readyTimeout)
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == status {
				return nil
			}
		}
		<-ticker.C
	}
	return &LaunchError{Process: process}
}
