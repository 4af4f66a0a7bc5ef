package quarantine

import "time"

const (
	// Duration is how long a suspicion or a quarantine lasts.
	Duration = 10 * time.Minute
	// shardCount spreads the fingerprints over locks.
	shardCount = 16
	// maxPerShard bounds the fingerprints of a shard: 16 x 1,024 covers the
	// calls in flight of more than 800 crashes of an upstream with 18 slots.
	maxPerShard = 1024
)
