package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Reader keeps a table up to date from the platform, and from peers while the
// platform does not answer this node. Its methods are safe for concurrent use.
type Reader struct {
	cfg   Config
	table *Table
	// connected is set while the last read succeeded.
	connected atomic.Bool
	// listed is set once the platform's items were listed as a whole.
	listed atomic.Bool
	// hint wakes the peer loop: a peer is known to have a newer revision.
	hint chan string
	// directUntil is when the node may follow its parent again. It is used by
	// the reading goroutine only.
	directUntil time.Time
	// lostAt and regainedAt are when the platform last stopped and resumed
	// answering, in Unix nanoseconds.
	lostAt, regainedAt atomic.Int64
}

// NewReader returns a reader for a table. Run starts it.
func NewReader(cfg Config, table *Table) *Reader {
	r := &Reader{cfg: cfg, table: table, hint: make(chan string, 1)}
	r.lostAt.Store(time.Now().UnixNano())
	return r
}

// Connected reports whether the platform answers this node.
func (r *Reader) Connected() bool { return r.connected.Load() }

// Unstable reports whether the platform does not answer this node or did not
// until recently.
func (r *Reader) Unstable(now time.Time) bool {
	return !r.Connected() || now.UnixNano()-r.regainedAt.Load() < int64(unstableTime)
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.readPeers(ctx)
	}()
	r.readSource(ctx)
	<-done
}

// ObservePeerRevision tells the reader that a peer has a revision. A newer one than the
// table's is fetched from that peer.
func (r *Reader) ObservePeerRevision(addr string, at uint64) {
	if at <= r.table.Revision() {
		return
	}
	select {
	case r.hint <- addr:
	default:
	}
}

func (r *Reader) readSource(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			r.cfg.Observer.Relisting(compacted.Revision)
			r.listed.Store(false)
			continue
		}
		r.lost(err)
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// step reads once, from the node's parent or from the platform.
func (r *Reader) step(ctx context.Context) error {
	plan := r.cfg.Plan()
	if plan.Parent == "" || r.table.Revision() == 0 || time.Now().Before(r.directUntil) {
		return r.readOnce(ctx)
	}
	err := r.follow(ctx, plan.Parent)
	if err != nil {
		r.cfg.Observer.PeerFailed(plan.Parent, err)
		r.directUntil = time.Now().Add(directTime)
	}
	return nil
}

// follow waits for changes at the parent. It returns a *NotFreshError if the
// parent does not hear from the platform.
func (r *Reader) follow(parent context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(parent, followWait+followSlack)
	defer cancel()
	page, err := r.cfg.Peers.Follow(ctx, addr, r.table.Revision(), followWait)
	if err != nil {
		return err
	}
	r.table.Merge(page)
	if !page.Fresh {
		return &NotFreshError{Addr: addr, At: page.Revision}
	}
	r.listed.Store(true)
	r.regained()
	return nil
}

func (r *Reader) readOnce(parent context.Context) error {
	if !r.listed.Load() {
		ctx, cancel := context.WithTimeout(parent, listTimeout)
		defer cancel()
		page, err := r.cfg.Source.List(ctx)
		if err != nil {
			return err
		}
		r.listed.Store(true)
		r.regained()
		r.table.Replace(page)
		return nil
	}
	ctx, cancel := context.WithTimeout(parent, watchWait+answerSlack)
	defer cancel()
	page, err := r.cfg.Source.Watch(ctx, r.table.Revision(), watchWait)
	if err != nil {
		return err
	}
	r.regained()
	if r.table.Merge(page) > 0 {
		sleep(parent, gatherTime)
	}
	return nil
}

func (r *Reader) lost(err error) {
	if r.connected.Swap(false) || r.lostAt.Load() == 0 {
		r.lostAt.Store(time.Now().UnixNano())
	}
	r.cfg.Observer.ReadFailed(err)
}

func (r *Reader) regained() {
	if !r.connected.Swap(true) {
		r.regainedAt.Store(time.Now().UnixNano())
		r.cfg.Observer.Recovered(time.Since(time.Unix(0, r.lostAt.Load())))
	}
}

// readPeers asks peers while the platform does not answer, and a peer that is
// known to be ahead at once.
func (r *Reader) readPeers(ctx context.Context) {
	if !sleep(ctx, startupGrace) {
		return
	}
	timer := time.NewTimer(peerInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-r.hint:
			r.fetch(ctx, addr)
		case <-timer.C:
			if !r.Connected() {
				r.askOne(ctx)
			}
			timer.Reset(peerInterval/2 + rand.N(peerInterval))
		}
	}
}

// askOne asks candidates until one answers.
func (r *Reader) askOne(ctx context.Context) {
	for _, addr := range r.cfg.Peers.Candidates(time.Now()) {
		if ctx.Err() != nil || r.fetch(ctx, addr) {
			return
		}
	}
}

func (r *Reader) fetch(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	page, err := r.cfg.Peers.Fetch(ctx, addr, r.table.Revision())
	if err != nil {
		r.cfg.Observer.PeerFailed(addr, err)
		return false
	}
	if page.Revision <= r.table.Revision() {
		return page.Revision > 0
	}
	news := r.table.Merge(page)
	r.cfg.Observer.MergedFromPeer(addr, page.Revision, news)
	return true
}

// sleep reports whether the context is still valid after a pause.
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
