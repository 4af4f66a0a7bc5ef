package replica

import (
	"context"
	"time"
)

// Source reads the items that the platform publishes for this system.
// Implementations are safe for concurrent use. They return a *CompactedError if
// the changes after a revision are no longer available, and other errors as
// types of their own.
type Source interface {
	// List returns all items. Keys that changed while it ran may have the old
	// or the new value or be missing; the page's revision precedes the first of
	// these changes.
	List(ctx context.Context) (Page, error)
	// Watch waits up to wait for changes after a revision. It returns a page
	// without items if there were none.
	Watch(ctx context.Context, afterRevision uint64, wait time.Duration) (Page, error)
}
