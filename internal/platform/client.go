package platform

import (
	"context"
	"time"
)

// Client reads the platform. Implementations are safe for concurrent use and
// return *UnavailableError, *NotFoundError, *UnchangedError or *MalformedError.
type Client interface {
	// Get reads a configuration value.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits up to wait for a revision of the value after the given one.
	// It returns an *UnchangedError if there is none in that time.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
	// WatchVMs waits up to wait for a revision of the VM list after the given
	// one, like Watch.
	WatchVMs(ctx context.Context, after uint64, wait time.Duration) (VMList, error)
}
