package placement

import "github.com/cespare/xxhash/v2"

const sizeShards = 16

// MeanSizes holds a moving average of body sizes for each key, for example a
// route or a rank. It is safe for concurrent use.
type MeanSizes struct {
	shards [sizeShards]sizeShard
}

// NewMeanSizes returns an empty set of averages.
func NewMeanSizes() *MeanSizes {
	s := &MeanSizes{}
	for i := range s.shards {
		s.shards[i].meanByKey = map[string]float64{}
	}
	return s
}

func (s *MeanSizes) shard(key string) *sizeShard {
	return &s.shards[xxhash.Sum64String(key)%sizeShards]
}

// Observe records one size in bytes.
func (s *MeanSizes) Observe(key string, n int) { s.shard(key).observe(key, n) }

// Get returns the mean size of a key in bytes; zero if none was observed.
func (s *MeanSizes) Get(key string) int { return s.shard(key).get(key) }
