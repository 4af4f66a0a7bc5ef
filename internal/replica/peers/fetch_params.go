package peers

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// fetchMethod is the JSON-RPC method that returns the changes after a revision
// as a wirePage.
const fetchMethod = "replica.fetch"

// fetchParams are the parameters of fetchMethod.
type fetchParams struct {
	AfterRevision uint64 `json:"after"`
	// Era is the era of AfterRevision. Nodes of earlier builds, which know of no eras,
	// leave it out; they get the changes in the era of the node that responds.
	Era *uint64 `json:"era,omitempty"`
	// WaitMs is how long to wait for a change, in milliseconds; 0 returns at
	// once.
	WaitMs int64 `json:"waitMs,omitempty"`
	// Confirmation is that of the last response to the node.
	Confirmation uint64 `json:"confirmation,omitempty"`
}

// newFetchParams returns the wire form of a request.
func newFetchParams(r replica.FollowRequest) fetchParams {
	return fetchParams{
		AfterRevision: r.AfterRevision.Number, Era: &r.AfterRevision.Era,
		WaitMs: r.Wait.Milliseconds(), Confirmation: r.Confirmation,
	}
}

// followRequest returns the request of a node; era is that of the node that responds.
func (p *fetchParams) followRequest(era uint64) replica.FollowRequest {
	if p.Era != nil {
		era = *p.Era
	}
	return replica.FollowRequest{
		AfterRevision: revision.Revision{Era: era, Number: p.AfterRevision}, Confirmation: p.Confirmation,
		Wait: min(time.Duration(p.WaitMs)*time.Millisecond, maxWait),
	}
}
