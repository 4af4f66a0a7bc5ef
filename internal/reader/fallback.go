package reader

import (
	"math/rand/v2"
	"time"
)

const (
	// StaleAfter is the age of the last known successful platform read after
	// which a node schedules a fallback read. It covers a watch of two seconds
	// and a few heartbeat intervals.
	StaleAfter = 6 * time.Second
	// fallbackInterval is the mean interval between fallback reads across all
	// nodes: 100 reads per second, of about 2,000 that the platform allows.
	fallbackInterval = 10 * time.Millisecond
	// minFallbackWindow is the range of delays with up to 100 live nodes.
	minFallbackWindow = time.Second
)

// FallbackDelay returns a random delay before a fallback read of the platform.
// liveNodes is the number of members that the node does not know to be dead; the
// range of delays grows with it, to bound the rate of reads.
func FallbackDelay(liveNodes int, rng *rand.Rand) time.Duration {
	window := max(minFallbackWindow, time.Duration(liveNodes)*fallbackInterval)
	return time.Duration(rng.Int64N(int64(window)))
}
