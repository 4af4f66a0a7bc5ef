package replica

import (
	"context"
	"time"
)

// Publisher answers the reads of other nodes from the table of a reader. It is
// safe for concurrent use.
type Publisher struct {
	reader *Reader
}

// NewPublisher returns a publisher of a reader's table.
func NewPublisher(r *Reader) *Publisher { return &Publisher{reader: r} }

// Page returns the changes after a revision. If there are none and the reader is
// connected, it waits for changes, for the loss of the connection or for ctx to
// end, at most for wait. The page says whether the reader is connected.
func (p *Publisher) Page(ctx context.Context, afterRevision uint64, wait time.Duration) Page {
	p.waitForChange(ctx, afterRevision, wait)
	page := p.reader.table.ChangesSince(afterRevision)
	page.Fresh = p.reader.Connected()
	return page
}

func (p *Publisher) waitForChange(ctx context.Context, afterRevision uint64, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.reader.table.Changed(afterRevision):
	case <-p.reader.connectivity.disconnected():
	case <-timer.C:
	case <-ctx.Done():
	}
}
