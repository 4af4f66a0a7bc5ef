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
	// The round-trip times used until one was observed.
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

// estimate returns the mean round-trip time to an instance's node in seconds, or
// a default for its zone and region if none was observed.
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
