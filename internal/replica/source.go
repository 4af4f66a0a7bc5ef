package replica

import (
	"context"
	"time"
)

// Source reads what the platform publishes for this system. Implementations
// are safe for concurrent use. They return *CompactedError if the history
// after a revision is no longer available, else errors of their own.
type Source interface {
	// List returns all items. Keys that changed while it ran may have the old
	// or the new value; At is not after the first of these changes.
	List(ctx context.Context) (Page, error)
	// Watch waits up to wait for changes after a revision. No items and no
	// error mean that there was none.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}
