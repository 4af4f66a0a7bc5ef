package replica

import (
	"context"
	"time"
)

// Publisher answers the reads of other nodes from a table. It is safe for
// concurrent use.
type Publisher struct {
	table *Table
	// connected reports whether the node's own copy is up to date; see
	// Reader.Connected.
	connected func() bool
}

// NewPublisher returns a publisher of a table. connected is called for each page.
func NewPublisher(table *Table, connected func() bool) *Publisher {
	return &Publisher{table: table, connected: connected}
}

// Page returns the changes after a revision. If there are none, it waits for
// changes up to wait, or until ctx ends. Without a wait it returns at once.
func (p *Publisher) Page(ctx context.Context, afterRevision uint64, wait time.Duration) Page {
	p.waitForChange(ctx, afterRevision, wait)
	page := p.table.ChangesSince(afterRevision)
	page.Fresh = p.connected()
	return page
}

func (p *Publisher) waitForChange(ctx context.Context, afterRevision uint64, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.table.Changed(afterRevision):
	case <-timer.C:
	case <-ctx.Done():
	}
}
