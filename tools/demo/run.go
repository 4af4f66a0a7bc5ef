package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

const (
	phaseDuration = 3 * time.Second
	finalVersion  = 3
)

func run(bin, logs string, subnet int) (*summary, error) {
	publisher, err := fleet.NewPublisher()
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(spec(bin, subnet), publisher)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if err := f.StartUpstreams(); err != nil {
		return nil, err
	}
	if _, err := publisher.Publish(f.PlatformURL(), 1, documentFor(1)); err != nil {
		return nil, err
	}
	fmt.Printf("starting %d nodes and their upstreams\n", len(f.VMs))
	if err := f.StartNodes(); err != nil {
		return nil, err
	}
	s, err := runScenario(f, publisher)
	if err != nil || logs == "" {
		return s, err
	}
	return s, f.WriteLogs(logs)
}

func spec(bin string, subnet int) fleet.Spec {
	return fleet.Spec{
		BinDir: bin,
		Regions: []fleet.Region{
			{Name: "viti-levu", Zones: []string{"vl-a", "vl-b"}},
			{Name: "vanua-levu", Zones: []string{"va-a", "va-b"}},
			{Name: "lau-east", Zones: []string{"le-a", "le-b"}},
		},
		PlatformRegion:   "viti-levu",
		Services:         []string{"recall", "certificates", "refunds"},
		VMsPerService:    1,
		Slots:            6,
		ProcessingTime:   time.Millisecond,
		InterZoneDelay:   1500 * time.Microsecond,
		InterRegionDelay: 30 * time.Millisecond,
		Subnet:           subnet,
		LogLevel:         "info",
		DecisionsEvery:   100,
		JoinTimeout:      2 * time.Second,
	}
}

// runScenario publishes a new version under load, kills one node, stops another
// and publishes again.
func runScenario(f *fleet.Fleet, publisher *fleet.Publisher) (*summary, error) {
	c := startCallers(f.VMs)
	pause(phaseDuration)
	fmt.Println("publishing version 2 under load")
	published, err := publisher.Publish(f.PlatformURL(), 2, documentFor(2))
	if err != nil {
		c.finish()
		return nil, err
	}
	pause(phaseDuration)
	s := &summary{nodes: len(f.VMs)}
	s.addConvergence(f, f.VMs, 2, published)

	killed, stopped := f.VMs[len(f.VMs)-1], f.VMs[len(f.VMs)-4]
	fmt.Printf("killing node %s and its upstream, stopping node %s\n", killed.ID, stopped.ID)
	f.Nodes[killed.ID].Kill()
	f.Upstreams[killed.ID].Kill()
	f.Nodes[stopped.ID].Signal(syscall.SIGTERM)
	pause(phaseDuration)
	fmt.Println("publishing version 3 to the remaining nodes")
	if published, err = publisher.Publish(f.PlatformURL(), finalVersion, documentFor(finalVersion)); err != nil {
		c.finish()
		return nil, err
	}
	pause(phaseDuration)
	c.finish()
	remaining := slices.DeleteFunc(slices.Clone(f.VMs), func(v fleet.VM) bool { return v.ID == killed.ID || v.ID == stopped.ID })
	s.addConvergence(f, remaining, finalVersion, published)
	s.addCallCounts(c)
	if err := s.countRefunds(f, c, remaining); err != nil {
		return nil, err
	}
	return s, s.addNodeMetrics(remaining)
}

// addConvergence records, for each node, the time from publication to adoption
// of a version, and counts the nodes that have not adopted it.
func (s *summary) addConvergence(f *fleet.Fleet, vms []fleet.VM, version uint64, published time.Time) {
	for _, v := range vms {
		adoptedAt, ok := f.Nodes[v.ID].Log.AdoptedAt(version)
		if !ok {
			s.unconverged++
			continue
		}
		s.convergence = append(s.convergence, adoptedAt.Sub(published).Round(time.Millisecond))
	}
	slices.Sort(s.convergence)
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}
