package once

import "time"

const (
	// KeyValidity is how long after its issue a key can be used. A longer
	// validity lets callers resend later and keeps more responses in memory.
	KeyValidity = 10 * time.Minute
	// MaxResponseBytes limits the body of a kept response.
	MaxResponseBytes = 64 << 10
	// maxClockSkew limits how far in the future a key may have been issued,
	// since a later time of issue extends how long the key is kept.
	maxClockSkew = time.Minute
	// shardCount is the number of shards of a table, each under its own lock.
	shardCount = 16
	// DefaultMaxKeys allows one owner 40 non-idempotent calls per second for
	// KeyValidity, more than an upstream with 18 slots serves.
	DefaultMaxKeys = 24_000
	// DefaultMaxTotalResponseBytes limits the response bodies that one owner
	// keeps.
	DefaultMaxTotalResponseBytes = 16 << 20
)
