package replica

import "strconv"

// CompactedError reports that the platform no longer has the changes after a
// revision. The reader has to list again.
type CompactedError struct {
	Revision uint64
}

func (e *CompactedError) Error() string {
	return "the platform has no history after revision " + strconv.FormatUint(e.Revision, 10)
}
