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
	// relisted is set if the platform has not answered a watch since it last lacked
	// the changes after the table's revision.
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

// Unstable reports whether the node is disconnected or reconnected only
// recently. The platform may then lack entries that are about to be restored.
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

// planAfterPoll decides where the next reads go after a poll of the parent. A single
// late response costs one read of the platform; a parent that is late twice in a row, or
// that failed, is left for directReadTime.
func (r *Reader) planAfterPoll(parent string, err error) {
	if err == nil {
		r.lateParent = false
		return
	}
	r.cfg.Observer.PeerFailed(parent, err)
	var late *LateParentError
	if errors.As(err, &late) && !r.lateParent {
		r.lateParent, r.confirmOnce = true, true
		return
	}
	r.lateParent = false
	r.directReadUntil = time.Now().Add(directReadTime)
}

// follow waits for changes and for a confirmation at the parent and merges them. It
// returns a *StalePeerError if the parent cannot confirm its copy or if that is of an
// earlier era, and a *LateParentError if the parent does not respond in time.
func (r *Reader) follow(runCtx context.Context, addr string) error {
	if addr != r.parent {
		r.parent, r.parentConfirmation = addr, 0
	}
	wait, timeout := followTimes(r.freshLeft(time.Now()))
	ctx, cancel := context.WithTimeout(runCtx, timeout)
	defer cancel()
	page, err := r.cfg.Peers.Follow(ctx, addr, FollowRequest{
		AfterRevision: r.table.Revision(), Confirmation: r.parentConfirmation, Wait: wait,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return &LateParentError{Addr: addr, Err: err}
	}
	if err != nil {
		return err
	}
	if page.Revision.Era < r.table.Revision().Era {
		return &StalePeerError{Addr: addr, Revision: page.Revision}
	}
	confirmed := page.Fresh && (page.Confirmation == 0 || page.Confirmation != r.parentConfirmation)
	r.parentConfirmation = page.Confirmation
	if confirmed {
		r.accept(time.Now().Add(-page.ConfirmedAge), func() { r.merge(page) })
		r.listed.Store(true)
	} else {
		r.merge(page)
	}
	if !page.Fresh {
		return &StalePeerError{Addr: addr, Revision: page.Revision}
	}
	if r.freshLeft(time.Now()) <= 0 {
		return &LateParentError{Addr: addr}
	}
	return nil
}

// followTimes returns the wait and the timeout of a poll of the parent by a node
// whose copy counts as up to date for freshLeft.
func followTimes(freshLeft time.Duration) (wait, timeout time.Duration) {
	if freshLeft <= 0 {
		return 0, followGrace
	}
	timeout = min(followWait+followGrace, max(freshLeft, followGrace))
	return min(followWait, freshLeft), timeout
}

// readPlatform lists all items, or watches for changes if the table holds a
// complete list. It returns a *StaleEraError if the response is of an earlier era than
// the table.
func (r *Reader) readPlatform(runCtx context.Context, position TreePosition) error {
	if !r.listed.Load() {
		return r.listPlatform(runCtx)
	}
	wait := r.platformWait(position)
	ctx, cancel := context.WithTimeout(runCtx, wait+watchGrace)
	defer cancel()
	after := r.table.Revision()
	page, err := r.cfg.Source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	r.relisted = false
	page = page.assumeEra(after.Era)
	if page.Revision.Era > after.Era {
		// The changes continue from a state of the new era that the table lacks.
		r.listed.Store(false)
		return nil
	}
	applied := 0
	if err := r.acceptFromPlatform(page, func() { applied = r.merge(page).Applied }); err != nil {
		return err
	}
	if applied > 0 {
		sleep(runCtx, batchDelay)
	}
	return nil
}

// platformWait returns the long-poll time of a watch. A node on which others rely
// confirms its copy once in watchWait, and at once if that time has passed.
func (r *Reader) platformWait(position TreePosition) time.Duration {
	if r.confirmOnce {
		return 0
	}
	if position.Parent != "" && !position.HasChildren {
		return fallbackWatchWait
	}
	return min(max(watchWait-r.ConfirmedAge(time.Now()), 0), watchWait)
}

func (r *Reader) listPlatform(runCtx context.Context) error {
	timeout := listTimeout
	if r.Connected() {
		timeout = relistTimeout
	}
	ctx, cancel := context.WithTimeout(runCtx, timeout)
	defer cancel()
	page, err := r.cfg.Source.List(ctx)
	if err != nil {
		return err
	}
	page = page.assumeEra(r.table.Revision().Era)
	page.Complete = true
	if err := r.acceptFromPlatform(page, func() { r.merge(page) }); err != nil {
		return err
	}
	r.listed.Store(true)
	r.cfg.Observer.Listed(page.Revision, len(page.Items))
	return nil
}

// acceptFromPlatform calls accept for a page that the platform has just sent. It
// returns a *StaleEraError, and does not call accept, if the page is of an earlier era
// than the table.
func (r *Reader) acceptFromPlatform(page Page, merge func()) error {
	if held := r.table.Revision(); page.Revision.Era < held.Era {
		return &StaleEraError{Got: page.Revision, Held: held}
	}
	r.accept(time.Now(), merge)
	return nil
}

// merge merges a page into the table. The first page of a new era counts as the end of
// an outage: the platform may lack entries that are about to be restored.
func (r *Reader) merge(page Page) MergeResult {
	held := r.table.Revision()
	if page.Complete && !held.IsZero() && held.Era < page.Revision.Era {
		r.connectivity.restored(time.Now())
	}
	result := r.table.Merge(page)
	if !result.EndedEra.IsZero() {
		r.cfg.Observer.EraBegun(result.EndedEra, page.Revision, result.Applied, result.Dropped)
	}
	return result
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

// markDisconnected records and reports a failed read of the platform.
func (r *Reader) markDisconnected(err error) {
	r.connectivity.lose(time.Now())
	r.cfg.Observer.ReadFailed(err)
}

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
