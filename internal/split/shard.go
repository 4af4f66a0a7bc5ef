package split

import (
	"math/rand/v2"
	"sync"
)

// shard holds the positions of some routes.
type shard struct {
	// mu guards position.
	mu       sync.Mutex
	position map[string]float64
}

// goldenStep is the fractional part of the golden ratio.
const goldenStep = 0.6180339887498949

func (s *shard) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.position[route]
	if !ok {
		at = rand.Float64()
	}
	at += goldenStep
	if at >= 1 {
		at--
	}
	s.position[route] = at
	return at
}
