package virtual

import "time"

// Options describe a virtual fleet.
type Options struct {
	Regions      int
	ZonesPerReg  int
	NodesPerZone int
	Services     []string
	// ZoneDelay and RegionDelay are one-way delays; ZeroDelay is used within
	// a zone.
	ZeroDelay   time.Duration
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// PlatformDelay is the one-way delay to the platform in its own region;
	// RegionDelay is added for other regions.
	PlatformDelay time.Duration
	JoinTimeout   time.Duration
	Seed          uint64
}

// SmallFleet returns options for three regions with two zones each and the
// delays of both deployments.
func SmallFleet(nodesPerZone int, seed uint64) Options {
	return Options{
		Regions: 3, ZonesPerReg: 2, NodesPerZone: nodesPerZone, Services: []string{"recall", "refunds", "certificates"},
		ZeroDelay: 200 * time.Microsecond, ZoneDelay: 1500 * time.Microsecond, RegionDelay: 30 * time.Millisecond,
		PlatformDelay: time.Millisecond, JoinTimeout: 2 * time.Second, Seed: seed,
	}
}
