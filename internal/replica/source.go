package replica

import (
	"context"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
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
	// without items if there were none. If the page is of another era than the
	// revision, its items do not continue from there.
	Watch(ctx context.Context, afterRevision revision.Revision, wait time.Duration) (Page, error)
}
