package mesh

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/quarantine"
)

// CrashReporter tells the other nodes of the upstream's service which calls crash
// upstreams. Implementations are safe for concurrent use. Nodes that do not respond
// before ctx ends are left out.
type CrashReporter interface {
	// Report reports the suspects of a crash to all nodes and returns those that have
	// succeeded at one of them since they were last suspect.
	Report(ctx context.Context, suspects []quarantine.Fingerprint) map[quarantine.Fingerprint]bool
	// Share passes quarantined fingerprints on to all nodes, ShareWithOne to a random
	// one.
	Share(ctx context.Context, list []quarantine.Quarantined)
	ShareWithOne(ctx context.Context, list []quarantine.Quarantined)
}
