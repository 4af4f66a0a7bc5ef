package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	distanceShards = 4
	// distanceWeight is the weight of a new observation.
	distanceWeight = 0.05
	// The distances assumed until one was observed, there and back.
	sameZone    = 1 * time.Millisecond
	sameRegion  = 4 * time.Millisecond
	otherRegion = 65 * time.Millisecond
)

// distances holds the observed time to each zone and back. It is safe for
// concurrent use.
type distances struct {
	shards [distanceShards]distanceShard
}

func newDistances() *distances {
	d := &distances{}
	for i := range d.shards {
		d.shards[i].byZone = map[string]*average{}
	}
	return d
}

func (d *distances) shard(zone string) *distanceShard {
	return &d.shards[xxhash.Sum64String(zone)%distanceShards]
}

// to returns the distance to an instance's node in seconds.
func (d *distances) to(zone, region string, i *instance.Instance) float64 {
	if s, ok := d.shard(i.Zone).get(i.Zone); ok {
		return s
	}
	switch {
	case i.Zone == zone:
		return sameZone.Seconds()
	case i.Region == region:
		return sameRegion.Seconds()
	}
	return otherRegion.Seconds()
}
