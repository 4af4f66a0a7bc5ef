package nodes

import "github.com/filbertpier/filbertpier/config"

// Spec describes a cluster.
type Spec struct {
	// Zones lists the availability zones, all in one region.
	Zones    []string
	Services []string
	// VMsPerService is the number of VMs per service in each zone; 0 means 1.
	VMsPerService int
	// Sections is the document of version 1.
	Sections []config.Section
	// DrainMs is settings.Node.DrainMs.
	DrainMs int64
	// Links puts a forwarder in front of each node's call port, so that a test
	// can close connections to it or drop their data.
	Links bool
}
