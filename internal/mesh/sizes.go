package mesh

import "github.com/cespare/xxhash/v2"

const sizeShards = 16

// sizes holds the mean size of request and answer of each route. It is safe for
// concurrent use.
type sizes struct {
	shards [sizeShards]sizeShard
}

func newSizes() *sizes {
	s := &sizes{}
	for i := range s.shards {
		s.shards[i].bytes = map[string]float64{}
	}
	return s
}

func (s *sizes) shard(route string) *sizeShard {
	return &s.shards[xxhash.Sum64String(route)%sizeShards]
}
