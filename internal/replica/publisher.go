package replica

import (
	"context"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// Publisher answers the reads of other nodes from the table of a reader. It is
// safe for concurrent use.
type Publisher struct {
	reader *Reader
}

// NewPublisher returns a publisher of a reader's table.
func NewPublisher(r *Reader) *Publisher { return &Publisher{reader: r} }

// Revision returns the revision up to which the reader's copy is complete.
func (p *Publisher) Revision() revision.Revision { return p.reader.table.Revision() }

// Page returns the changes that a request asks for. If there are none and the reader's
// copy is confirmed, it waits for changes, for a new confirmation, for the loss of the
// connection or for ctx to end, at most for the wait of the request.
func (p *Publisher) Page(ctx context.Context, r FollowRequest) Page {
	p.waitForNews(ctx, r)
	now := time.Now()
	page := p.reader.table.ChangesSince(r.AfterRevision)
	page.Fresh = p.reader.fresh(now)
	page.Confirmation, page.ConfirmedAge = p.reader.connectivity.lastConfirmation(now)
	return page
}

func (p *Publisher) waitForNews(ctx context.Context, r FollowRequest) {
	if r.Wait <= 0 {
		return
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case <-p.reader.table.Changed(r.AfterRevision):
	case <-p.reader.connectivity.confirmedSince(r.Confirmation):
	case <-p.reader.connectivity.disconnected():
	case <-timer.C:
	case <-ctx.Done():
	}
}
