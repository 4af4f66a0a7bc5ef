package fleet

import "time"

// Spec describes a fleet.
type Spec struct {
	// BinDir is the folder of the programs.
	BinDir string
	// Regions lists the regions with their availability zones; PlatformRegion
	// is the name of one of them.
	Regions        []Region
	PlatformRegion string
	Services       []string
	// VMsPerService is the number of VMs per service in each zone.
	VMsPerService int
	// Slots is the number of calls that an upstream runs at once.
	Slots int
	// ProcessingTime is the time that a call runs on an upstream.
	ProcessingTime time.Duration
	// InterZoneDelay and InterRegionDelay are the one-way delays between zones
	// of a region and between regions. If both are zero, no link is started.
	InterZoneDelay   time.Duration
	InterRegionDelay time.Duration
	// Subnet is the second octet of the loopback addresses, so that fleets
	// that run at the same time do not overlap.
	Subnet int
	// LogLevel and DecisionsEvery configure the nodes' logs.
	LogLevel       string
	DecisionsEvery uint64
	JoinTimeout    time.Duration
	// NodeMemoryBytes and NodeMaxDescriptors limit each node; zero selects the defaults.
	NodeMemoryBytes    int64
	NodeMaxDescriptors int
}
