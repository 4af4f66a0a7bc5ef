package split

import (
	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/config"
)

const shardCount = 16

// Chooser distributes the calls of routes by weight. Each route's position
// advances by the golden ratio, which keeps the shares of few calls close to
// the weights; the random start keeps nodes from choosing alike. It is safe for
// concurrent use.
type Chooser struct {
	shards [shardCount]shard
}

// NewChooser returns a chooser.
func NewChooser() *Chooser {
	c := &Chooser{}
	for i := range c.shards {
		c.shards[i].position = map[string]float64{}
	}
	return c
}

// Choose returns the service of the next call of a route.
func (c *Chooser) Choose(r *config.Route) string {
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total <= 0 {
		return r.Service
	}
	at := c.shards[xxhash.Sum64String(r.Name)%shardCount].next(r.Name) * total
	for _, p := range r.Split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
