package replica

import (
	"context"
	"errors"
	"time"
)

// planAfterPoll decides where the next reads go after a poll of the parent. A single
// late response costs one read of the platform; a parent that is late twice in a row, or
// that failed, is left for directReadTime.
func (r *Reader) planAfterPoll(parent string, err error) {
	if err == nil {
		r.lateParent, r.relisted = false, false
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
