package replica

import (
	"context"
	"math/rand/v2"
	"time"
)

// runPeerReads fetches from peers while the node is disconnected, and at once
// from a peer whose revision is newer than the table's.
func (r *Reader) runPeerReads(ctx context.Context) {
	if !sleep(ctx, peerStartDelay) {
		return
	}
	timer := time.NewTimer(peerInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-r.peerHint:
			r.fetchFromPeer(ctx, addr)
		case <-timer.C:
			if !r.Connected() {
				r.fetchFromAnyPeer(ctx)
			}
			timer.Reset(peerInterval/2 + rand.N(peerInterval))
		}
	}
}

// fetchFromAnyPeer tries the candidates in turn until fetchFromPeer returns true.
func (r *Reader) fetchFromAnyPeer(ctx context.Context) {
	for _, addr := range r.cfg.Peers.Candidates(time.Now()) {
		if ctx.Err() != nil || r.fetchFromPeer(ctx, addr) {
			return
		}
	}
}

// fetchFromPeer fetches and merges a peer's changes. It returns false if the
// fetch failed or the peer's table is empty.
func (r *Reader) fetchFromPeer(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	page, err := r.cfg.Peers.Fetch(ctx, addr, r.table.Revision())
	if err != nil {
		r.cfg.Observer.PeerFailed(addr, err)
		return false
	}
	if !r.table.Revision().Less(page.Revision) {
		return !page.Revision.IsZero()
	}
	r.cfg.Observer.MergedFromPeer(addr, page.Revision, r.merge(page).Applied)
	return true
}
