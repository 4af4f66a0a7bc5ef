package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
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

// to returns the distance in seconds.
func (d *distances) to(q *Query, zone, region string) float64 {
	if s, ok := d.shard(zone).get(zone); ok {
		return s
	}
	switch {
	case zone == q.Zone:
		return sameZone.Seconds()
	case region == q.Region:
		return sameRegion.Seconds()
	}
	return otherRegion.Seconds()
}
