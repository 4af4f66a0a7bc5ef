package placement

import "github.com/cespare/xxhash/v2"

const sizeShards = 16

// MeanSizes holds the mean size of request and response together for each route. It
// is safe for concurrent use.
type MeanSizes struct {
	shards [sizeShards]sizeShard
}

// NewMeanSizes returns sizes without observations.
func NewMeanSizes() *MeanSizes {
	s := &MeanSizes{}
	for i := range s.shards {
		s.shards[i].bytes = map[string]float64{}
	}
	return s
}

func (s *MeanSizes) shard(route string) *sizeShard {
	return &s.shards[xxhash.Sum64String(route)%sizeShards]
}

// Observe records the size of one call in bytes.
func (s *MeanSizes) Observe(route string, n int) { s.shard(route).observe(route, n) }

// Get returns the mean size in bytes; zero if unknown.
func (s *MeanSizes) Get(route string) int { return s.shard(route).get(route) }
