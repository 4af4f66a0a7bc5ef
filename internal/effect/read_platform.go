package effect

import (
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/snapshot"
)

// ReadPlatform asks for one read of the platform.
type ReadPlatform struct {
	Query PlatformQuery
	// AfterRevision and Wait make a manifest or VM list read a watch: it
	// returns when the value's revision exceeds AfterRevision or Wait is over.
	AfterRevision uint64
	Wait          time.Duration
	// Section and ID are set for QuerySection: the section and the pending
	// version that needs it.
	Section    manifest.Digest
	SnapshotID snapshot.ID
}

func (ReadPlatform) effect() {}
