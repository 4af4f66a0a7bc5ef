package split

import (
	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/config"
)

// shardCount is the number of shards, each with its own lock.
const shardCount = 16

// Chooser distributes the calls of routes over services by weight. Each route
// has a position in [0, 1). Each call advances it by the golden ratio, modulo 1,
// so that even a small number of calls is split close to the weights. Positions
// start at random, so that nodes do not choose services in step. It is safe for
// concurrent use.
type Chooser struct {
	shards [shardCount]shard
}

// NewChooser returns a chooser without positions. The start position of a route
// is drawn at random on its first call.
func NewChooser() *Chooser {
	c := &Chooser{}
	for i := range c.shards {
		c.shards[i].positions = map[string]float64{}
	}
	return c
}

// Choose returns the service of the next call of a route. It is r.Service if the
// route has no positive weights.
func (c *Chooser) Choose(r *config.Route) string {
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	if total <= 0 {
		return r.Service
	}
	position := c.shards[xxhash.Sum64String(r.Name)%shardCount].nextPosition(r.Name) * total
	for _, part := range r.Split {
		if position < part.Weight {
			return part.Service
		}
		position -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
