package replica

import "time"

// Observer is told what a Reader does, for logs and metrics. Implementations
// are safe for concurrent use and do not block.
type Observer interface {
	// ReadFailed: the platform did not answer a read.
	ReadFailed(err error)
	// Recovered: the platform answers again after an outage.
	Recovered(after time.Duration)
	// Relisting: the platform forgot the history after a revision.
	Relisting(after uint64)
	// PeerFailed: a peer did not answer.
	PeerFailed(addr string, err error)
	// MergedFromPeer: a peer had changes that the platform did not deliver.
	MergedFromPeer(addr string, at uint64, news int)
}
