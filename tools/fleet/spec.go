package fleet

import "time"

// Spec describes a fleet.
type Spec struct {
	// BinDir is the folder of the programs.
	BinDir string
	// Regions maps each region to its availability zones; PlatformRegion is
	// one of them.
	Regions        []Region
	PlatformRegion string
	// Services are the services; each zone gets one VM per service and round.
	Services []string
	// VMsPerService is the number of VMs per service in each zone.
	VMsPerService int
	Slots         int
	// ProcessingTime is how long a call runs on an upstream.
	ProcessingTime time.Duration
	// InterZoneDelay and RegionDelay are the one-way delays between zones of a
	// region and between regions; zero for both starts no link.
	InterZoneDelay   time.Duration
	InterRegionDelay time.Duration
	// Subnet is the second octet of the loopback addresses, so that fleets
	// that run at once do not overlap.
	Subnet int
	// LogLevel and DecisionsEvery configure the nodes' logs.
	LogLevel       string
	DecisionsEvery uint64
	JoinTimeout    time.Duration
}
