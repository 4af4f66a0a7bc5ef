package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// Reader keeps a table up to date from the platform or the parent node, and from
// other peers while the platform does not respond to this node. Its methods are
// safe for concurrent use.
type Reader struct {
	cfg   Config
	table *Table
	// connectivity is confirmed by a successful read and lost by a failed read of
	// the platform. A failed read of the parent does not lose it.
	connectivity *connectivity
	// listed is set while the table holds a complete list, so that reads may
	// continue with a watch.
	listed atomic.Bool
	// peerHint passes the address of a peer with a newer revision to
	// runPeerReads.
	peerHint chan string
	// depth is the node's depth in the tree at its last read.
	depth atomic.Int64
	// directReadUntil is when the node may read from its parent again. Only
	// the goroutine of runReads uses it and the following fields.
	directReadUntil time.Time
	// confirmOnce makes the next read confirm the copy at the platform at once.
	confirmOnce bool
	// lateParent is set if the last poll of the parent was late.
	lateParent bool
	// parent is the node that was last followed, and parentConfirmation the
	// confirmation of its last response.
	parent             string
	parentConfirmation uint64
	// relisted is set if neither the platform has answered a watch nor the parent a poll
	// since the platform last lacked the changes after the table's revision.
	relisted bool
}

// NewReader returns a reader for a table. Run starts it.
func NewReader(cfg Config, table *Table) *Reader {
	return &Reader{cfg: cfg, table: table, peerHint: make(chan string, 1), connectivity: newConnectivity(time.Now())}
}

// Connected reports whether a read has succeeded since the last failed read of
// the platform. A read of the parent node counts as a success if the parent's copy
// is confirmed.
func (r *Reader) Connected() bool { return r.connectivity.isConnected() }

// ConfirmedAge returns the time since the platform sent the last successful read,
// which confirmed that the copy is up to date; zero before the first one.
func (r *Reader) ConfirmedAge(now time.Time) time.Duration {
	_, age := r.connectivity.lastConfirmation(now)
	return age
}

// fresh reports whether the copy counts as up to date: the last read was successful
// and confirmed it recently. A read that hangs is not known to have failed.
func (r *Reader) fresh(now time.Time) bool { return r.Connected() && r.freshLeft(now) > 0 }

// freshLeft returns how long the copy still counts as up to date if no read confirms
// it; it is not positive once the copy does not. Nodes further down the tree allow
// more time, so that their ancestors turn to the platform first.
func (r *Reader) freshLeft(now time.Time) time.Duration {
	return freshTime + time.Duration(r.depth.Load())*depthMargin - r.ConfirmedAge(now)
}

// Unstable reports whether the node is disconnected or reconnected only recently, or
// learned only recently that the platform returned from an older copy. The platform may
// then lack entries that are about to be restored.
func (r *Reader) Unstable(now time.Time) bool { return r.connectivity.unstable(now) }

// Run reads until the context ends, and returns once its goroutines have
// stopped.
func (r *Reader) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runPeerReads(ctx)
	}()
	r.runReads(ctx)
	<-done
}

// ObservePeerRevision requests a fetch from a peer if its revision is newer than
// the table's and no other request is pending. It does not block.
func (r *Reader) ObservePeerRevision(addr string, at revision.Revision) {
	if !r.table.Revision().Less(at) {
		return
	}
	select {
	case r.peerHint <- addr:
	default:
	}
}

// runReads reads until the context ends, with a backoff after failures.
func (r *Reader) runReads(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := r.readNext(ctx)
		if err == nil && !r.relisted {
			backoff = minBackoff
		}
		if err == nil || r.recordFailure(err) {
			continue
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordFailure records a failed read and reports whether the next one may follow at
// once. It may if the platform lacks the changes after the table's revision, unless it
// lacked them before too and a list did not help: the node would list without a pause.
func (r *Reader) recordFailure(err error) (retryAtOnce bool) {
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		r.cfg.Observer.Relisting(compacted.Revision)
		r.listed.Store(false)
		retryAtOnce, r.relisted = !r.relisted, true
		return retryAtOnce
	}
	var oversized *OversizedPageError
	if errors.As(err, &oversized) {
		// A list comes in pages, each of which is shorter than a watch's changes.
		r.listed.Store(false)
	}
	r.markDisconnected(err)
	return false
}

// readNext reads once, from the node's parent or from the platform. After a
// failure of the parent it returns nil, so that the next read goes to the
// platform without a backoff.
func (r *Reader) readNext(ctx context.Context) error {
	position := r.cfg.TreePosition()
	r.depth.Store(int64(position.Depth))
	if position.Parent == "" || r.table.Revision().IsZero() || r.confirmOnce || time.Now().Before(r.directReadUntil) {
		err := r.readPlatform(ctx, position)
		r.confirmOnce = false
		return err
	}
	r.planAfterPoll(position.Parent, r.follow(ctx, position.Parent))
	return nil
}

// accept records a successful read that the platform sent at sentAt, and reports the
// end of an outage. merge applies it before the nodes that wait for a confirmation are
// woken, so that they get both in one response.
func (r *Reader) accept(sentAt time.Time, merge func()) {
	outage, recovered, announce := r.connectivity.confirm(time.Now(), sentAt)
	if recovered {
		r.cfg.Observer.Recovered(outage)
	}
	merge()
	announce()
}

// merge merges a page into the table. The first page of a new era makes the node
// unstable before it is applied.
func (r *Reader) merge(page Page) MergeResult {
	held := r.table.Revision()
	if page.Complete && !held.IsZero() && held.Era < page.Revision.Era {
		r.connectivity.beginEra(time.Now())
	}
	result := r.table.Merge(page)
	if !result.EndedEra.IsZero() {
		r.cfg.Observer.EraBegun(result.EndedEra, page.Revision, result.Applied, result.Dropped)
	}
	return result
}

// markDisconnected records and reports a failed read of the platform.
func (r *Reader) markDisconnected(err error) {
	r.connectivity.lose(time.Now())
	r.cfg.Observer.ReadFailed(err)
}

// sleep pauses for d and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
