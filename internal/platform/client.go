package platform

import (
	"context"
	"time"
)

// Client reads configuration values and the VM list. Implementations are safe
// for concurrent use and return *UnavailableError, *NotFoundError,
// *UnchangedError or *MalformedError.
type Client interface {
	// Get reads a configuration value.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits up to the given time for a revision of the value newer than
	// afterRevision. It returns an *UnchangedError if none appears in that time.
	Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (Value, error)
	// WatchVMs waits up to the given time for a revision of the VM list newer
	// than afterRevision, like Watch.
	WatchVMs(ctx context.Context, afterRevision uint64, wait time.Duration) (VMList, error)
}
