package nodes

import "github.com/filbertpier/filbertpier/config"

// Spec describes a cluster.
type Spec struct {
	// Zones lists the availability zones; each has one VM per service and
	// round. All are in one region.
	Zones         []string
	Services      []string
	VMsPerService int
	// Sections is the document of version 1.
	Sections []config.Section
	// DrainMs is settings.Node.DrainMs.
	DrainMs int64
	// Links puts a forwarder in front of each node's call port, so that a test
	// can cut or silence connections to it.
	Links bool
}
