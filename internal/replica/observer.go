package replica

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// Observer receives a Reader's events, for logs and metrics. Implementations
// are safe for concurrent use and do not block.
type Observer interface {
	// ReadFailed reports a failed read of the platform.
	ReadFailed(err error)
	// Recovered reports the first successful read after the start or an outage,
	// and the time without one.
	Recovered(outage time.Duration)
	// Listed reports a complete list that was read from the platform, its
	// revision and its number of items.
	Listed(at revision.Revision, items int)
	// Relisting reports that all items are listed again, because the platform no
	// longer has all changes after a revision.
	Relisting(after revision.Revision)
	// EraBegun reports that the platform returned from an older copy of itself: the
	// revision that the table held, the first one of the new era, and how many items
	// were applied, of which dropped are keys that the new era lacks.
	EraBegun(held, first revision.Revision, applied, dropped int)
	// PeerFailed reports a failed read from a peer, or a parent that is
	// disconnected from the platform.
	PeerFailed(addr string, err error)
	// MergedFromPeer reports a fetch from a peer that was ahead of the table, the
	// peer's revision and how many items were applied.
	MergedFromPeer(addr string, at revision.Revision, applied int)
}
