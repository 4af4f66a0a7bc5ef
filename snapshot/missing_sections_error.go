package snapshot

import (
	"fmt"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// MissingSectionsError lists sections that a version needs and that are absent
// or have another digest.
type MissingSectionsError struct {
	ID      ID
	Missing []manifest.Digest
}

func (e *MissingSectionsError) Error() string {
	return fmt.Sprintf("version %d lacks %d sections", e.ID.Version, len(e.Missing))
}
