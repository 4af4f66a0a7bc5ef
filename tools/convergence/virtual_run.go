package convergence

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/internal/testkit/virtual"
	"github.com/filbertpier/filbertpier/snapshot"
)

const (
	virtualStart = 8 * time.Second
	// virtualWindow bounds the wait for a version; the target is 4 s.
	virtualWindow = 5 * time.Second
	staleness     = 3 * time.Second
	partitionTime = 10 * time.Second
)

// VirtualRun measures one fleet in virtual time. Its document is short: the
// virtual network has delays but no bandwidth, and parsing the long one for each
// of 1,800 nodes would take minutes.
type VirtualRun struct {
	fleet   *virtual.Fleet
	version uint64
	// Rows are the outcomes; PlatformCallsPerSecond is the highest rate of
	// platform calls in the mass restart.
	Rows                   []Row
	PlatformCallsPerSecond int
}

// RunVirtual runs all scenarios on a fleet of 6 zones in 3 regions.
func RunVirtual(nodesPerZone int, seed uint64) *VirtualRun {
	r := &VirtualRun{fleet: virtual.NewFleet(virtual.DefaultOptions(nodesPerZone, seed))}
	f := r.fleet
	r.publish()
	f.StartAll()
	f.Clock.Advance(virtualStart)
	id, from := r.publish()
	f.Clock.Advance(virtualWindow)
	r.record("calm", id, from)
	r.dying()
	r.stale()
	r.partition()
	r.restart()
	return r
}

func (r *VirtualRun) publish() (snapshot.ID, time.Time) {
	r.version++
	sections := testkit.Sections(int(r.version), r.fleet.Options.Services...)
	return r.fleet.Publish(r.version, sections), r.fleet.Clock.Now()
}

func (r *VirtualRun) record(scenario string, id snapshot.ID, from time.Time) {
	row := Row{Part: "virtual", Scenario: scenario, Nodes: len(r.fleet.Nodes)}
	for _, n := range r.fleet.Nodes {
		if !n.Running() {
			continue
		}
		at, ok := n.AdoptedAt[id.Version]
		if !ok {
			row.Missing++
			continue
		}
		row.Samples = append(row.Samples, max(0, at.Sub(from)))
	}
	r.Rows = append(r.Rows, row)
}

func (r *VirtualRun) dying() {
	f := r.fleet
	id, from := r.publish()
	for i, n := range f.Nodes {
		if i%10 == 3 {
			f.Kill(n)
		}
	}
	f.Clock.Advance(virtualWindow)
	r.record("a tenth dies at publication", id, from)
	for _, n := range f.Nodes {
		if !n.Running() {
			f.Start(n)
		}
	}
	f.Clock.Advance(virtualStart)
}

func (r *VirtualRun) stale() {
	f := r.fleet
	f.Platform.Staleness = staleness
	id, from := r.publish()
	f.Clock.Advance(staleness + virtualWindow)
	f.Platform.Staleness = 0
	r.record("platform 3 s stale, from visibility", id, from.Add(staleness))
}

// partition cuts one region from the others and from the platform while a
// version is published, and measures from the moment the cut heals.
func (r *VirtualRun) partition() {
	f := r.fleet
	const region = "r2"
	f.Network.Partitioned = func(from, to *virtual.Node) bool {
		return (from.Record.Region == region) != (to.Record.Region == region)
	}
	f.PlatformUnreachable = func(n *virtual.Node) bool { return n.Record.Region == region }
	id, _ := r.publish()
	f.Clock.Advance(partitionTime)
	f.Network.Partitioned, f.PlatformUnreachable = nil, nil
	healed := f.Clock.Now()
	f.Clock.Advance(2 * virtualWindow)
	r.record("after a healed region partition", id, healed)
}

// restart ends all processes and starts them at once while a version is
// published.
func (r *VirtualRun) restart() {
	f := r.fleet
	for _, n := range f.Nodes {
		f.Kill(n)
	}
	f.Clock.Advance(time.Second)
	f.Platform.CallsBySecond = map[int64]int{}
	id, from := r.publish()
	f.StartAll()
	f.Clock.Advance(2 * virtualWindow)
	r.record("mass restart", id, from)
	r.PlatformCallsPerSecond = f.Platform.MaxCallsPerSecond()
}
