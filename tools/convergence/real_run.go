package convergence

import (
	"time"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

const (
	// Changes is the number of versions published while nothing fails.
	Changes = 5
	// realWindow bounds the wait for a version.
	realWindow = 4 * time.Second
	// idleWindow is how long the idle fleet is measured.
	idleWindow = 8 * time.Second
	realStale  = 3 * time.Second
	// settleTime lets the member tables agree after the start; their exchange
	// would count as idle cost.
	settleTime = 15 * time.Second
)

// RealRun measures one fleet of separate processes on loopback behind the
// delaying link.
type RealRun struct {
	fleet   *fleet.Fleet
	keys    *fleet.Publisher
	version uint64

	Rows []Row
	// Idle and Busy are the costs without and with one change every
	// realWindow.
	Idle Cost
	Busy Cost
	// DocumentBytes is what a reader of the whole document takes from the
	// platform: the envelope and all sections.
	DocumentBytes int64
	// PlatformCallsPerSecond is the highest rate since the fleet started; the
	// mass restart is part of it.
	PlatformCallsPerSecond uint64
}

// RunReal starts a fleet of 6 zones in 3 regions, runs the scenarios and stops
// it.
func RunReal(bin string, subnet, rounds int) (*RealRun, error) {
	return runReal(bin, subnet, rounds, (*RealRun).dying, (*RealRun).stale, (*RealRun).restart)
}

// MeasureCost runs only the calm scenario, for the costs.
func MeasureCost(bin string, subnet, rounds int) (*RealRun, error) {
	return runReal(bin, subnet, rounds)
}

func runReal(bin string, subnet, rounds int, scenarios ...func(*RealRun) error) (*RealRun, error) {
	keys, err := fleet.NewPublisher()
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(realSpec(bin, subnet, rounds), keys)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	r := &RealRun{fleet: f, keys: keys}
	if _, err := r.publish(); err != nil {
		return nil, err
	}
	if err := f.StartNodes(); err != nil {
		return nil, err
	}
	for _, scenario := range append([]func(*RealRun) error{(*RealRun).measureDocument, (*RealRun).calm}, scenarios...) {
		if err := scenario(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func realSpec(bin string, subnet, rounds int) fleet.Spec {
	return fleet.Spec{
		BinDir: bin,
		Regions: []fleet.Region{
			{Name: "north", Zones: []string{"n-a", "n-b"}},
			{Name: "central", Zones: []string{"c-a", "c-b"}},
			{Name: "south", Zones: []string{"s-a", "s-b"}},
		},
		PlatformRegion: "north", Services: []string{"service-00", "service-01"}, VMsPerService: rounds,
		InterZoneDelay: 1500 * time.Microsecond, InterRegionDelay: 30 * time.Millisecond,
		Subnet: subnet, LogLevel: "info", DecisionsEvery: 1000, JoinTimeout: 2 * time.Second,
	}
}

func (r *RealRun) measureDocument() error {
	sections := Document(1)
	env, err := r.keys.Envelope(1, sections)
	if err != nil {
		return err
	}
	raw, err := env.Encode()
	if err != nil {
		return &UncountedError{Field: "document bytes", Err: err}
	}
	r.DocumentBytes = int64(len(raw) + DocumentBytes(sections))
	return nil
}

func (r *RealRun) publish() (time.Time, error) {
	r.version++
	return r.keys.Publish(r.fleet.PlatformURL(), r.version, Document(int(r.version)))
}

// record adds the nodes' times from the given moment to adoption; gone nodes
// are left out.
func (r *RealRun) record(scenario string, from time.Time, gone map[string]bool) {
	row := Row{Part: "real", Scenario: scenario, Nodes: len(r.fleet.VMs)}
	if n := len(r.Rows); n > 0 && r.Rows[n-1].Scenario == scenario {
		row, r.Rows = r.Rows[n-1], r.Rows[:n-1]
	}
	for _, v := range r.fleet.VMs {
		if gone[v.ID] {
			continue
		}
		at, ok := r.fleet.Nodes[v.ID].Log.AdoptedAt(r.version)
		if !ok {
			row.Missing++
			continue
		}
		row.Samples = append(row.Samples, max(0, at.Sub(from)))
	}
	r.Rows = append(r.Rows, row)
}

// calm measures the idle fleet, and then one change after another.
func (r *RealRun) calm() error {
	pause(settleTime)
	meter := Meter{fleet: r.fleet}
	var err error
	if r.Idle, err = meter.over(func() error { pause(idleWindow); return nil }); err != nil {
		return err
	}
	r.Busy, err = meter.over(func() error {
		for range Changes {
			published, err := r.publish()
			if err != nil {
				return err
			}
			pause(realWindow / 2)
			r.record("calm", published, nil)
		}
		return nil
	})
	return err
}

func (r *RealRun) dying() error {
	gone := map[string]bool{}
	published, err := r.publish()
	if err != nil {
		return err
	}
	for i, v := range r.fleet.VMs {
		if i%10 == 3 {
			r.fleet.Nodes[v.ID].Kill()
			gone[v.ID] = true
		}
	}
	pause(realWindow)
	r.record("a tenth dies at publication", published, gone)
	return nil
}

func (r *RealRun) stale() error {
	gone := map[string]bool{}
	for _, v := range r.fleet.VMs {
		select {
		case <-r.fleet.Nodes[v.ID].Done():
			gone[v.ID] = true
		default:
		}
	}
	if err := r.fleet.SetPlatformStaleness(realStale); err != nil {
		return err
	}
	published, err := r.publish()
	if err != nil {
		return err
	}
	pause(realStale + realWindow)
	r.record("platform 3 s stale, from visibility", published.Add(realStale), gone)
	return r.fleet.SetPlatformStaleness(0)
}

// restart ends all nodes and starts them at once while a version is published.
func (r *RealRun) restart() error {
	for _, v := range r.fleet.VMs {
		r.fleet.Nodes[v.ID].Kill()
	}
	published, err := r.publish()
	if err != nil {
		return err
	}
	if err := r.fleet.StartNodes(); err != nil {
		return err
	}
	pause(realWindow)
	r.record("mass restart", published, nil)
	r.PlatformCallsPerSecond, err = r.fleet.MaxPlatformCallsPerSecond()
	return err
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}
