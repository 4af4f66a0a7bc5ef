package placement

import "sync"

// sizeWeight is the weight of a new size in the moving average.
const sizeWeight = 0.05

// sizeShard holds the mean sizes of the keys that hash to this shard.
type sizeShard struct {
	// mu guards meanByKey, which maps a key to its mean size in bytes.
	mu        sync.Mutex
	meanByKey map[string]float64
}

func (s *sizeShard) observe(key string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.meanByKey[key]
	if !ok {
		mean = float64(n)
	}
	s.meanByKey[key] = mean + sizeWeight*(float64(n)-mean)
}

func (s *sizeShard) get(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.meanByKey[key])
}
