package replica

import (
	"context"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// Fetcher reads the changes after a revision from another node.
// Implementations are safe for concurrent use and return an error of their own
// type if the node does not respond before the context ends.
type Fetcher interface {
	// Fetch returns the changes after a revision at once, over a connection
	// that is closed afterwards.
	Fetch(ctx context.Context, addr string, afterRevision revision.Revision) (Page, error)
	// Follow is a long poll: the node responds once it has changes or a new
	// confirmation, or after the wait. The connection is kept for the next call.
	Follow(ctx context.Context, addr string, r FollowRequest) (Page, error)
	// Candidates returns the addresses of nodes to try, in order of preference.
	Candidates(now time.Time) []string
}
