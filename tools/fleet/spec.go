package fleet

import "time"

// Spec describes a fleet.
type Spec struct {
	// Bin is the folder of the programs.
	Bin string
	// Regions maps each region to its availability zones; PlatformRegion is
	// one of them.
	Regions        []Region
	PlatformRegion string
	// Services are the services; each zone gets one VM per service and round.
	Services []string
	// Rounds is the number of VMs per service in each zone.
	Rounds int
	Slots  int
	// Work is how long a call runs on an upstream.
	Work time.Duration
	// ZoneDelay and RegionDelay are the one-way delays between zones of a
	// region and between regions; zero for both starts no link.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// Subnet is the second octet of the loopback addresses, so that fleets
	// that run at once do not overlap.
	Subnet int
	// LogLevel and DecisionsEvery configure the nodes' logs.
	LogLevel       string
	DecisionsEvery uint64
	JoinTimeout    time.Duration
}
