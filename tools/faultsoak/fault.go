package main

import (
	"math/rand/v2"
	"time"
)

// fault is one kind of trouble. It acts for some time and undoes itself.
type fault struct {
	name string
	// planned work must cut nothing; the other faults may.
	planned bool
	act     func(w *world, m *vm, rng *rand.Rand, d time.Duration)
}
