package reader

import (
	"math/rand/v2"
	"time"
)

const (
	// StaleAfter is the age of the last known successful platform read after
	// which nodes that are not readers schedule a fallback read. It covers a
	// watch of two seconds and a few heartbeat intervals.
	StaleAfter = 6 * time.Second
	// fallbackInterval is the mean interval between fallback reads across all
	// nodes: 100 reads per second, of about 2,000 that the platform allows.
	fallbackInterval  = 10 * time.Millisecond
	minFallbackWindow = time.Second
)

// FallbackDelay returns a random delay before a node that is not a reader reads
// the platform. liveNodes is the number of live nodes in its member table; the
// range of delays grows with it, to bound the rate of reads.
func FallbackDelay(liveNodes int, rng *rand.Rand) time.Duration {
	window := max(minFallbackWindow, time.Duration(liveNodes)*fallbackInterval)
	return time.Duration(rng.Int64N(int64(window)))
}
