package virtual

import "time"

// Options describe a virtual fleet.
type Options struct {
	Regions        int
	ZonesPerRegion int
	NodesPerZone   int
	Services       []string
	// IntraZoneDelay, InterZoneDelay and InterRegionDelay are the one-way delays
	// between nodes of a zone, of two zones in a region and of two regions.
	IntraZoneDelay   time.Duration
	InterZoneDelay   time.Duration
	InterRegionDelay time.Duration
	// PlatformDelay is the one-way delay to the platform in its own region;
	// InterRegionDelay is added for other regions.
	PlatformDelay time.Duration
	// JoinTimeout is control.Config.JoinTimeout.
	JoinTimeout time.Duration
	// Seed determines all random choices; runs with the same seed are equal.
	Seed uint64
}

// DefaultOptions returns options for three regions with two zones each and the
// network delays that apply to both target deployments.
func DefaultOptions(nodesPerZone int, seed uint64) Options {
	return Options{
		Regions: 3, ZonesPerRegion: 2, NodesPerZone: nodesPerZone, Services: []string{"recall", "refunds", "certificates"},
		IntraZoneDelay: 200 * time.Microsecond, InterZoneDelay: 1500 * time.Microsecond, InterRegionDelay: 30 * time.Millisecond,
		PlatformDelay: time.Millisecond, JoinTimeout: 2 * time.Second, Seed: seed,
	}
}
