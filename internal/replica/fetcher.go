package replica

import (
	"context"
	"time"
)

// Fetcher asks another node for the changes after a revision. Implementations
// are safe for concurrent use and return an error of their own if the node
// does not answer within the context.
type Fetcher interface {
	Fetch(ctx context.Context, addr string, after uint64) (Page, error)
	// Follow waits up to wait for changes after a revision at one node, over a
	// connection that is kept.
	Follow(ctx context.Context, addr string, after uint64, wait time.Duration) (Page, error)
	// Candidates returns the addresses to ask, in random order.
	Candidates(now time.Time) []string
}
