package main

import (
	"math/rand/v2"
	"sync/atomic"
)

// upstreamFaults are the shares of calls, in percent, that an upstream treats
// badly. They may change at any time.
type upstreamFaults struct {
	lose, truncate, shed, slow atomic.Int32
}

func hit(share *atomic.Int32) bool { return rand.Int32N(100) < share.Load() }
