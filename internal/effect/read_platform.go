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
	// AfterRevision and Wait turn the read of a manifest or VM list into a
	// watch, which returns once the revision exceeds AfterRevision or Wait ends.
	AfterRevision uint64
	Wait          time.Duration
	// Section and SnapshotID are set for QuerySection: the section to read and
	// the pending version that needs it.
	Section    manifest.Digest
	SnapshotID snapshot.ID
}

func (ReadPlatform) effect() {}
