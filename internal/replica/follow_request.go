package replica

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// FollowRequest asks a node for the changes that another node lacks. It is immutable.
type FollowRequest struct {
	// AfterRevision is the revision up to which the requester's copy is complete.
	AfterRevision revision.Revision
	// Confirmation is the Page.Confirmation of the node's last response; zero before
	// the first one.
	Confirmation uint64
	// Wait is how long the node may wait for a change or a new confirmation; zero
	// for a response at once.
	Wait time.Duration
}
