package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// random is a seeded generator for use from several goroutines.
type random struct {
	// mu guards rng.
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// fork returns a generator for one decision.
func (r *random) fork() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// jitter returns a duration between half of d and one and a half of it.
func (r *random) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.rng.Int64N(int64(d)+1))
}

// intN returns a number below n.
func (r *random) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
