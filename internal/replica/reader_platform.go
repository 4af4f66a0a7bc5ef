package replica

import (
	"context"
	"time"
)

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
