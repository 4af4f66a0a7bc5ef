package virtual

import (
	"fmt"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

// ownZoneSeeds is the maximum number of a node's seeds in its own zone. The node
// itself may be one of them. Each other zone contributes one seed.
const ownZoneSeeds = 2

// Fleet is a virtual fleet with its clock, network and platform. It is not safe
// for concurrent use.
type Fleet struct {
	Options   Options
	Clock     *Clock
	Network   *Network
	Platform  *Platform
	Publisher *testkit.Publisher
	Nodes     []*Node
	// PlatformUnreachable reports whether a node cannot reach the platform; nil
	// means that all nodes can.
	PlatformUnreachable func(*Node) bool

	// Invariants counts the invariant violations of all nodes; a violation
	// panics.
	Invariants *telemetry.Invariants
	// AfterEvent, if set, is called after a node has handled a message, a timer, a
	// platform result or a call of CatchUp.
	AfterEvent func(*Node)

	byAddr map[string]*Node
	// starts counts process starts; it makes boot numbers and agent seeds differ.
	starts uint64
}

// NewFleet returns a fleet whose VM list is published. No node is started yet.
func NewFleet(o Options) *Fleet {
	f := &Fleet{Options: o, Clock: NewClock(), Publisher: testkit.NewPublisher(), byAddr: map[string]*Node{}}
	f.Invariants = telemetry.NewInvariants(telemetry.NewMetrics(), true)
	f.Platform = newPlatform(f.Clock)
	f.Network = newNetwork(f)
	for r := range o.Regions {
		for z := range o.ZonesPerRegion {
			for i := range o.NodesPerZone {
				f.addNode(r, z, i)
			}
		}
	}
	f.Platform.PutVMs(f.vmList())
	return f
}

func (f *Fleet) addNode(region, zone, index int) {
	id := fmt.Sprintf("r%d-z%d-%04d", region, zone, index)
	n := &Node{fleet: f, Record: member.Member{
		VM: id, Region: fmt.Sprintf("r%d", region), Zone: fmt.Sprintf("r%d-z%d", region, zone),
		Service:  f.Options.Services[index%len(f.Options.Services)],
		PeerAddr: "peer/" + id, CallAddr: "call/" + id,
	}}
	f.Nodes = append(f.Nodes, n)
	f.byAddr[n.Record.PeerAddr] = n
}

func (f *Fleet) vmList() []platform.VM {
	var list []platform.VM
	for _, n := range f.Nodes {
		list = append(list, platform.VM{ID: n.Record.VM, Zone: n.Record.Zone, Region: n.Record.Region,
			Service: n.Record.Service, PeerAddr: n.Record.PeerAddr, CallAddr: n.Record.CallAddr, State: platform.VMLive})
	}
	return list
}

// ResumeAll resumes all paused nodes.
func (f *Fleet) ResumeAll() {
	for _, n := range f.Nodes {
		n.pausedUntil = f.Clock.Now()
		n.resume()
	}
}

// MarkLeaving publishes a VM list in which only the VM of n is leaving, as of now.
func (f *Fleet) MarkLeaving(n *Node) {
	list := f.vmList()
	for i := range list {
		if list[i].ID == n.Record.VM {
			list[i].State, list[i].LeavingSince = platform.VMLeaving, f.Clock.Now().UnixMilli()
		}
	}
	f.Platform.PutVMs(list)
}

// PlatformRegion returns the region that hosts the platform.
func (f *Fleet) PlatformRegion() string { return "r0" }

// Start starts a node's process with empty memory. It replaces a running one.
func (f *Fleet) Start(n *Node) {
	f.starts++
	n.Record.Boot = uint64(f.Clock.Now().UnixMilli()) + f.starts
	n.Record.ChangedAt = f.Clock.Now().UnixMilli()
	n.AdoptedAt = map[uint64]time.Time{}
	n.EventCounts = map[effect.Event]int{}
	n.HighestID = snapshot.ID{}
	n.PlatformCalls = 0
	n.pausedUntil, n.deferred = time.Time{}, nil
	n.Agent = control.New(control.Config{
		Self: n.Record, Keys: f.Publisher.Keys(), Seeds: f.seedAddrs(n), PlatformRegion: f.PlatformRegion(),
		JoinTimeout: f.Options.JoinTimeout, Seed: f.Options.Seed + f.starts, Invariants: f.Invariants,
	}, snapshot.NewStore())
	n.applyEffects(n.Agent.Start(f.Clock.Now()))
}

func (f *Fleet) seedAddrs(n *Node) []string {
	var seeds []string
	seedsInZone := map[string]int{}
	for _, other := range f.Nodes {
		z := other.Record.Zone
		if seedsInZone[z] < ownZoneSeeds && (z == n.Record.Zone || seedsInZone[z] == 0) {
			seedsInZone[z]++
			seeds = append(seeds, other.Record.PeerAddr)
		}
	}
	return seeds
}

// StartAll starts all nodes at once.
func (f *Fleet) StartAll() {
	for _, n := range f.Nodes {
		f.Start(n)
	}
}

// Kill ends a node's process without notice to other nodes.
func (f *Fleet) Kill(n *Node) { n.Agent = nil }

// Pause suspends a node's process for d; messages, timers and platform results
// are processed when it resumes.
func (f *Fleet) Pause(n *Node, d time.Duration) {
	n.pausedUntil = f.Clock.Now().Add(d)
	f.Clock.AfterFunc(d, n.resume)
}

// Publish publishes the sections and the manifest of a version that both leads
// signed.
func (f *Fleet) Publish(version uint64, sections []config.Section) snapshot.ID {
	for _, s := range sections {
		f.Platform.Put(platform.SectionKey(manifest.Sum(s.Raw)), s.Raw)
	}
	return f.PublishEnvelope(f.Publisher.SignedByBothLeads(version, sections))
}

// PublishEnvelope publishes a manifest without its sections. A manifest that
// cannot be decoded is published too; the returned ID is then zero.
func (f *Fleet) PublishEnvelope(env *manifest.Envelope) snapshot.ID {
	raw, err := env.Encode()
	if err != nil {
		panic(err)
	}
	f.Platform.Put(platform.ManifestKey, raw)
	m, err := manifest.Decode(env.Manifest)
	if err != nil {
		return snapshot.ID{}
	}
	return snapshot.ID{Version: m.Version, Digest: env.Digest()}
}

// NodesBehind returns the running nodes whose current version is older than id.
func (f *Fleet) NodesBehind(id snapshot.ID) []*Node {
	var out []*Node
	for _, n := range f.Nodes {
		if n.Running() && n.Agent.Store().CurrentID().Less(id) {
			out = append(out, n)
		}
	}
	return out
}
