package platform

import "fmt"

// UnchangedError reports a watch that ended without a newer revision.
type UnchangedError struct {
	Key string
	// Revision is the platform's revision; it is below the one waited for if
	// the platform restarted or answers from a stale replica.
	Revision uint64
}

func (e *UnchangedError) Error() string {
	return fmt.Sprintf("%s is unchanged at revision %d", e.Key, e.Revision)
}
