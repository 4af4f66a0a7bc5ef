package snapshot

import (
	"fmt"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// MissingSectionsError lists the sections of a version that the source does not
// have or returns with another digest.
type MissingSectionsError struct {
	ID      ID
	Missing []manifest.Digest
}

// Error gives the number of missing sections.
func (e *MissingSectionsError) Error() string {
	return fmt.Sprintf("version %d: %d sections are missing", e.ID.Version, len(e.Missing))
}
