package mesh

import (
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Config wires a Server to its surroundings.
type Config struct {
	HeaderNames HeaderNames
	// Zone and Region name the node's place; Service is that of the upstream
	// beside it.
	Zone, Region, Service string
	// UpstreamAddr is the address of the upstream beside the node.
	UpstreamAddr string
	// PeerPort is the port on which all nodes take calls from each other.
	PeerPort string
	LocalIP  string
	// LinkBytesPerSecond is the rate of the VM's link; zero if unknown.
	LinkBytesPerSecond int
	Store              *snapshot.Store
	// Directory lists the upstreams.
	Directory *instance.Directory
	// Revision returns the platform's revision that the node knows.
	Revision func() uint64
	// ObservePeerRevision is told the revisions that other nodes know.
	ObservePeerRevision func(host string, at uint64)
	Log                 hclog.Logger
	Metrics             *Metrics
}
