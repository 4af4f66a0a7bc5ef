package quarantine

import "time"

const (
	// EntryLifetime is how long a fingerprint stays suspect or quarantined
	// after the last report.
	EntryLifetime = 10 * time.Minute
	// ReportTimeout bounds the wait for acknowledgements of a crash report; it
	// covers the opening of a connection and a round trip between regions.
	ReportTimeout = 200 * time.Millisecond
	// shardCount is the number of shards, each with its own lock.
	shardCount = 16
	// maxEntriesPerShard bounds the fingerprints of a shard. 16 x 1,024 entries
	// cover the requests in flight during more than 800 crashes of an upstream
	// with 18 slots.
	maxEntriesPerShard = 1024
)
