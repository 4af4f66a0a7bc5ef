package effect

import (
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// ReadPlatform requests one read from the platform. Its result comes back as a
// PlatformResult.
type ReadPlatform struct {
	Query PlatformQuery
	// With a Wait above zero, the read of a manifest or VM list is a watch: it
	// returns once the revision exceeds AfterRevision or after Wait. Without Wait,
	// AfterRevision applies only to a VM list.
	AfterRevision uint64
	Wait          time.Duration
	// Section and SnapshotID are set for QuerySection: the section to read and
	// the pending version that needs it.
	Section    manifest.Digest
	SnapshotID snapshot.ID
}

func (ReadPlatform) effect() {}
