package main

import (
	"math/rand/v2"
	"sync/atomic"
)

// upstreamFaults holds the rate of each fault of an upstream, in percent of its
// calls. The rates may change at any time.
type upstreamFaults struct {
	drop, truncate, shed, slow atomic.Int32
}

// sampleFault decides at random whether a call gets a fault of the given rate.
func sampleFault(percent *atomic.Int32) bool { return rand.Int32N(100) < percent.Load() }
