package feed

import (
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Change is the decoded content of one published item. At most one field is set;
// none is set for an item that needs no action.
type Change struct {
	// Snapshot is a published configuration version.
	Snapshot *snapshot.Snapshot
	// Instance is the current entry of an upstream.
	Instance *instance.Instance
	// Evacuation is the start or the end of a zone's evacuation.
	Evacuation *Evacuation
	// RemovedID is the ID of an upstream whose entry was removed or cannot be
	// decoded.
	RemovedID string
}
