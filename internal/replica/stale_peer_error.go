package replica

import "github.com/filbertpier/filbertpier/internal/revision"

// StalePeerError reports a peer that is disconnected from the platform; see
// Reader.Connected.
type StalePeerError struct {
	Addr string
	// Revision is the revision up to which the peer's copy is complete.
	Revision revision.Revision
}

func (e *StalePeerError) Error() string {
	return e.Addr + " is disconnected from the platform; its copy is at revision " + e.Revision.String()
}
