package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	roundTripShards = 4
	// roundTripWeight is the weight of a new observation.
	roundTripWeight = 0.05
	// The round-trip times assumed for a zone until one has been observed.
	sameZoneRoundTrip    = 1 * time.Millisecond
	sameRegionRoundTrip  = 4 * time.Millisecond
	otherRegionRoundTrip = 65 * time.Millisecond
)

// roundTrips holds the mean round-trip time to each zone. It is safe for
// concurrent use.
type roundTrips struct {
	shards [roundTripShards]roundTripShard
}

func newRoundTrips() *roundTrips {
	r := &roundTrips{}
	for i := range r.shards {
		r.shards[i].byZone = map[string]*average{}
	}
	return r
}

func (r *roundTrips) shard(zone string) *roundTripShard {
	return &r.shards[xxhash.Sum64String(zone)%roundTripShards]
}

// estimate returns the mean round-trip time in seconds from a node in the given
// zone and region to an instance's node, or a default if none was observed for the
// instance's zone.
func (r *roundTrips) estimate(zone, region string, i *instance.Instance) float64 {
	if s, ok := r.shard(i.Zone).get(i.Zone); ok {
		return s
	}
	switch {
	case i.Zone == zone:
		return sameZoneRoundTrip.Seconds()
	case i.Region == region:
		return sameRegionRoundTrip.Seconds()
	}
	return otherRegionRoundTrip.Seconds()
}
