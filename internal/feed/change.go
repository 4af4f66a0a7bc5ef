package feed

import (
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Change is what one published item says. At most one field is set.
type Change struct {
	// Snapshot is a new version.
	Snapshot *snapshot.Snapshot
	// Instance is an upstream's entry.
	Instance *instance.Instance
	// RemovedID is the id of an upstream that has no entry any more.
	RemovedID string
}
