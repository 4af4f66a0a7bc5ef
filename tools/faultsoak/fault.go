package main

import (
	"math/rand/v2"
	"time"
)

// fault is a kind of failure or of planned work that the injector can start.
type fault struct {
	name string
	// planned is set for operator actions, which must not interrupt requests.
	planned bool
	// inject applies the fault, for d if it lasts, and reverts it before it returns.
	inject func(tb *testbed, m *vm, rng *rand.Rand, d time.Duration)
}
