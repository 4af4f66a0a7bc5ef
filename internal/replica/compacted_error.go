package replica

import "github.com/filbertpier/filbertpier/internal/revision"

// CompactedError reports that the platform no longer has all changes after a
// revision. The reader has to list all items again.
type CompactedError struct {
	// Revision is the revision that the reader asked to continue from.
	Revision revision.Revision
}

func (e *CompactedError) Error() string {
	return "the platform no longer has all changes after revision " + e.Revision.String()
}
