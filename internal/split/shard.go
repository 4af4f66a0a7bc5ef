package split

import (
	"math/rand/v2"
	"sync"
)

// shard holds the positions of the routes that hash to it.
type shard struct {
	// mu guards positions.
	mu        sync.Mutex
	positions map[string]float64
}

// goldenRatioStep is the fractional part of the golden ratio.
const goldenRatioStep = 0.6180339887498949

// nextPosition advances a route's position and returns it, in [0, 1).
func (s *shard) nextPosition(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, ok := s.positions[route]
	if !ok {
		position = rand.Float64()
	}
	position += goldenRatioStep
	if position >= 1 {
		position--
	}
	s.positions[route] = position
	return position
}
