package mesh

import (
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	HeaderNames HeaderNames
	// Zone and Region locate the node; Service is the service of the upstream
	// beside it.
	Zone, Region, Service string
	// UpstreamAddr is the address of the upstream beside the node.
	UpstreamAddr string
	// PeerPort is the port on which every node accepts calls from other nodes.
	PeerPort string
	// LocalIP is the source address of outgoing connections; empty lets the
	// system choose.
	LocalIP string
	// LinkBytesPerSecond is the rate of the VM's network link; zero if unknown,
	// in which case responses are not paced.
	LinkBytesPerSecond int
	Store              *snapshot.Store
	// Directory lists the upstreams.
	Directory *instance.Directory
	// Revision returns the latest platform revision known to the node.
	Revision func() revision.Revision
	// ObservePeerRevision is called with the host of another node and the latest
	// platform revision that it reported.
	ObservePeerRevision func(host string, at revision.Revision)
	// Quarantine decides which calls may run on the upstream, and Crashes tells the
	// other nodes of its service about them.
	Quarantine *quarantine.Guard
	Crashes    CrashReporter
	Log        hclog.Logger
	Metrics    *Metrics
}
