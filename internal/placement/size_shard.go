package placement

import "sync"

// sizeWeight is the weight of a new call in the moving mean size of a route.
const sizeWeight = 0.05

// sizeShard holds the mean call sizes of the routes that hash to this shard.
type sizeShard struct {
	// mu guards bytes, which maps a route to its mean size.
	mu    sync.Mutex
	bytes map[string]float64
}

func (s *sizeShard) observe(route string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.bytes[route]
	if !ok {
		mean = float64(n)
	}
	s.bytes[route] = mean + sizeWeight*(float64(n)-mean)
}

func (s *sizeShard) get(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.bytes[route])
}
