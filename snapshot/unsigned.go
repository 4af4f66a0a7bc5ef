package snapshot

import (
	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
)

// NewUnsigned returns the snapshot of a version that a trusted platform
// publishes without the signatures of the two leads. It has no envelope, no
// manifest and no sections.
func NewUnsigned(version uint64, raw []byte, doc *config.Document) *Snapshot {
	return &Snapshot{ID: ID{Version: version, Digest: manifest.Sum(raw)}, Document: doc}
}
