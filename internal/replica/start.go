package replica

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// maxStartDelay bounds how long an empty node asks other nodes for a copy
	// before it lists the platform's items itself. When a whole fleet starts,
	// the first nodes to list serve the others: 7,300 nodes that all list would
	// take the platform several seconds.
	maxStartDelay = time.Second
	// startInterval is the pause between rounds of questions.
	startInterval = 100 * time.Millisecond
	// startTimeout bounds one question; it covers the longest way and back.
	startTimeout = 250 * time.Millisecond
)

// begin gives an empty node its first copy from a node that hears from the
// platform. It reports whether one was found within a random delay.
func (r *Reader) begin(ctx context.Context) bool {
	end := time.Now().Add(rand.N(maxStartDelay))
	for ctx.Err() == nil {
		candidates := r.cfg.Peers.Candidates(time.Now())
		if len(candidates) == 0 {
			return false
		}
		for _, addr := range candidates {
			if r.copyFrom(ctx, addr) {
				return true
			}
		}
		if time.Now().Add(startInterval).After(end) || !sleep(ctx, startInterval) {
			return false
		}
	}
	return false
}

// copyFrom takes the copy of a node that hears from the platform.
func (r *Reader) copyFrom(parent context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(parent, startTimeout)
	defer cancel()
	page, err := r.cfg.Peers.Fetch(ctx, addr, 0)
	if err != nil || !page.Fresh || page.At == 0 {
		return false
	}
	news := r.table.Merge(page)
	r.listed.Store(true)
	r.regained()
	r.cfg.Observer.FromPeer(addr, page.At, news)
	return true
}
