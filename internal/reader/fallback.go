package reader

import (
	"math/rand/v2"
	"time"
)

const (
	// StaleAfter is the age of the last known successful platform read after
	// which other nodes prepare to read. It covers a watch of two seconds and
	// a few heartbeat intervals.
	StaleAfter = 6 * time.Second
	// fallbackSpacing is the mean time between fallback reads of the whole
	// fleet: 100 a second, against about 2,000 that the platform allows.
	fallbackSpacing = 10 * time.Millisecond
	minFallback     = time.Second
)

// FallbackDelay returns a random delay before a node reads outside its turn.
// liveNodes is the number of nodes that it knows.
func FallbackDelay(liveNodes int, rng *rand.Rand) time.Duration {
	window := max(minFallback, time.Duration(liveNodes)*fallbackSpacing)
	return time.Duration(rng.Int64N(int64(window)))
}
