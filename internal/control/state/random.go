package state

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Random is a seeded random generator for use from several goroutines.
type Random struct {
	// mu guards rng.
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns a generator for a seed.
func NewRandom(seed uint64) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Fork returns a new generator for use by one goroutine, seeded from r.
func (r *Random) Fork() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// Jitter returns a random duration between 0.5 and 1.5 times d.
func (r *Random) Jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.rng.Int64N(int64(d)+1))
}

// IntN returns a random number in [0, n). n must be positive.
func (r *Random) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
