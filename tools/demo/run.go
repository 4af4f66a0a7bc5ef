package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

const (
	phase       = 3 * time.Second
	lastVersion = 3
)

func run(bin, logs string, subnet int) (*summary, error) {
	keys, err := fleet.NewPublisher()
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(spec(bin, subnet), keys)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	if err := f.StartUpstreams(); err != nil {
		return nil, err
	}
	if _, err := keys.Publish(f.PlatformURL(), 1, documentFor(1)); err != nil {
		return nil, err
	}
	fmt.Printf("starting %d nodes and their upstreams\n", len(f.VMs))
	if err := f.StartNodes(); err != nil {
		return nil, err
	}
	s, err := drive(f, keys)
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

// drive changes the configuration under calls, kills one node, stops another
// and changes the configuration again.
func drive(f *fleet.Fleet, keys *fleet.Publisher) (*summary, error) {
	c := startCallers(f.VMs)
	pause(phase)
	fmt.Println("publishing version 2 under calls")
	published, err := keys.Publish(f.PlatformURL(), 2, documentFor(2))
	if err != nil {
		c.finish()
		return nil, err
	}
	pause(phase)
	s := &summary{nodes: len(f.VMs)}
	s.measure(f, f.VMs, 2, published)

	victim, leaver := f.VMs[len(f.VMs)-1], f.VMs[len(f.VMs)-4]
	fmt.Printf("killing node %s with its upstream, stopping node %s\n", victim.ID, leaver.ID)
	f.Nodes[victim.ID].Kill()
	f.Upstreams[victim.ID].Kill()
	f.Nodes[leaver.ID].Signal(syscall.SIGTERM)
	pause(phase)
	fmt.Println("publishing version 3 without them")
	if published, err = keys.Publish(f.PlatformURL(), lastVersion, documentFor(lastVersion)); err != nil {
		c.finish()
		return nil, err
	}
	pause(phase)
	c.finish()
	left := slices.DeleteFunc(slices.Clone(f.VMs), func(v fleet.VM) bool { return v.ID == victim.ID || v.ID == leaver.ID })
	s.measure(f, left, lastVersion, published)
	s.add(c)
	if err := s.countRefunds(f, c, left); err != nil {
		return nil, err
	}
	return s, s.scrape(left)
}

// measure adds the time from publication to adoption of each node.
func (s *summary) measure(f *fleet.Fleet, vms []fleet.VM, version uint64, published time.Time) {
	for _, v := range vms {
		at, ok := f.Nodes[v.ID].Log.AdoptedAt(version)
		if !ok {
			s.missing++
			continue
		}
		s.convergence = append(s.convergence, at.Sub(published).Round(time.Millisecond))
	}
	slices.Sort(s.convergence)
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}
