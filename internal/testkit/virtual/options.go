package virtual

import "time"

// Options describe a virtual fleet.
type Options struct {
	Regions        int
	ZonesPerRegion int
	NodesPerZone   int
	Services       []string
	// ZoneDelay and RegionDelay are one-way delays; IntraZoneDelay is used within
	// a zone.
	IntraZoneDelay   time.Duration
	InterZoneDelay   time.Duration
	InterRegionDelay time.Duration
	// PlatformDelay is the one-way delay to the platform in its own region;
	// RegionDelay is added for other regions.
	PlatformDelay time.Duration
	JoinTimeout   time.Duration
	Seed          uint64
}

// DefaultOptions returns options for three regions with two zones each and the
// delays of both deployments.
func DefaultOptions(nodesPerZone int, seed uint64) Options {
	return Options{
		Regions: 3, ZonesPerRegion: 2, NodesPerZone: nodesPerZone, Services: []string{"recall", "refunds", "certificates"},
		IntraZoneDelay: 200 * time.Microsecond, InterZoneDelay: 1500 * time.Microsecond, InterRegionDelay: 30 * time.Millisecond,
		PlatformDelay: time.Millisecond, JoinTimeout: 2 * time.Second, Seed: seed,
	}
}
