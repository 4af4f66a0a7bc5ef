package replica

import "strconv"

// CompactedError reports that the platform no longer has all changes after a
// revision. The reader has to list all items again.
type CompactedError struct {
	// Revision is the revision that the reader asked to continue from.
	Revision uint64
}

func (e *CompactedError) Error() string {
	return "the platform no longer has all changes after revision " + strconv.FormatUint(e.Revision, 10)
}
