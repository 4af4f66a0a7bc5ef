package platform

import "fmt"

// UnchangedError reports a watch that ended without a newer revision.
type UnchangedError struct {
	Key string
	// Revision is the current revision on the platform. It is below the one
	// that the watch started from if the platform restarted or a stale replica
	// responded.
	Revision uint64
}

func (e *UnchangedError) Error() string {
	return fmt.Sprintf("%s is unchanged at revision %d", e.Key, e.Revision)
}
