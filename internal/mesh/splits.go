package mesh

import (
	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/config"
)

const splitShards = 16

// splits distributes the calls of routes by weight. Each route's position
// advances by the golden ratio, which keeps the shares of few calls close to
// the weights; the random start keeps nodes from choosing alike.
type splits struct {
	shards [splitShards]splitShard
}

func newSplits() *splits {
	s := &splits{}
	for i := range s.shards {
		s.shards[i].position = map[string]float64{}
	}
	return s
}

// choose returns the service of the next call of a route.
func (s *splits) choose(r *config.Route) string {
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total <= 0 {
		return r.Service
	}
	at := s.shards[xxhash.Sum64String(r.Name)%splitShards].next(r.Name) * total
	for _, p := range r.Split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
