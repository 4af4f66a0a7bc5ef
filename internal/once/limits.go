package once

import "time"

const (
	// Validity is how long after its issue a key can be used. Longer lets
	// callers resend later and keeps more answers in memory.
	Validity = 10 * time.Minute
	// MaxResponseBytes bounds a kept answer's body.
	MaxResponseBytes = 64 << 10
	// maxClockSkew bounds how far in the future a key may have been issued,
	// since it extends the time for which the key is kept.
	maxClockSkew = time.Minute
	// shardCount spreads the keys over locks.
	shardCount = 16
	// DefaultMaxKeys bounds the keys of one owner: 40 calls per second during the
	// validity, more than one upstream of 18 slots serves of this kind.
	DefaultMaxKeys = 24_000
	// DefaultMaxTotalResponseBytes bounds the kept answers of one owner in bytes.
	DefaultMaxTotalResponseBytes = 16 << 20
)
