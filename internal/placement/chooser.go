package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	statsShards = 32
	// defaultServiceTime is used until a service time has been observed.
	defaultServiceTime = 50 * time.Millisecond
	// coldFactor multiplies the service time of a cold instance while this node
	// has not observed its service time, and the cost of a lapsed instance.
	coldFactor = 2.0
	// unobservedFactor lowers the expected service time of an instance that this
	// node has not called yet: it may be new and idle.
	unobservedFactor = 0.5
	// maxJitter is the largest relative random increase of expected times, so that
	// nodes with the same statistics do not all choose the same instance.
	maxJitter = 0.15
	// sameRegionTargetShare is the share of the target below which an instance in
	// the sender's region is fast enough. Service times vary by a factor of two or
	// more, so the expected time must stay below half of the target.
	sameRegionTargetShare = 0.45
	// otherRegionTimeShare is the share of the expected time in the sender's region that
	// another region may need to get a call. When all regions are busy, calls that went to
	// the other one would fill the links and gain nothing.
	otherRegionTimeShare = 0.5
	// smallBodyBytes is the size up to which a request body or a response does not
	// queue for the VM's link.
	smallBodyBytes = 16 << 10
	// The extra delay accepted per KiB of a call to keep it within the zone or the
	// region.
	crossZoneDelayPerKiB   = time.Millisecond
	crossRegionDelayPerKiB = 4 * time.Millisecond
)

// Chooser selects instances for calls. It is safe for concurrent use.
type Chooser struct {
	shards     [statsShards]statsShard
	roundTrips *roundTrips
	// serviceTimes averages over all instances of a service, for instances whose
	// service time this node has not observed yet.
	serviceTimes serviceTimes
}

// NewChooser returns a chooser without observations.
func NewChooser() *Chooser {
	c := &Chooser{roundTrips: newRoundTrips()}
	for i := range c.shards {
		c.shards[i].byID = map[string]*instanceStats{}
	}
	return c
}

func (c *Chooser) shard(id string) *statsShard { return &c.shards[xxhash.Sum64String(id)%statsShards] }

// Choose returns the candidate with the lowest expected time to the response. One in
// another region must be much faster than all in the sender's region, and those must not
// be expected to respond well within the target: a faster response is worth no more
// then, and links between regions are narrow. If no candidate is available, it returns a last resort; if all are excluded or not serving, false.
// For each choice the caller must call Start before it sends the call and Finish
// when the call ends.
func (c *Chooser) Choose(now time.Time, q Query) (Choice, bool) {
	var near, far, lastResort Choice
	var nearCost, farCost, lastResortCost float64
	candidates := 0
	for _, i := range q.Candidates {
		if !q.permits(now, i) {
			continue
		}
		cost, available := c.assess(now, &q, i)
		if !available {
			if lastResort.Instance == nil || cost < lastResortCost {
				lastResort, lastResortCost = c.choice(i, cost), cost
			}
			continue
		}
		candidates++
		switch {
		case i.Region == q.Region && (near.Instance == nil || cost < nearCost):
			near, nearCost = c.choice(i, cost), cost
		case i.Region != q.Region && (far.Instance == nil || cost < farCost):
			far, farCost = c.choice(i, cost), cost
		}
	}
	best := near
	if near.Instance == nil || far.Instance != nil && worthCrossRegion(&q, nearCost, farCost) {
		best = far
	}
	if best.Instance == nil {
		lastResort.LastResort = true
		return lastResort, lastResort.Instance != nil
	}
	best.Candidates = candidates
	return best, true
}

// worthCrossRegion reports whether a call goes to another region although there is an
// instance in the sender's region. The costs are expected times in seconds.
func worthCrossRegion(q *Query, nearCost, farCost float64) bool {
	return nearCost >= sameRegionTargetShare*q.Target.Seconds() && farCost < otherRegionTimeShare*nearCost
}

func (c *Chooser) choice(i *instance.Instance, cost float64) Choice {
	return Choice{Instance: i, Expected: time.Duration(cost * float64(time.Second))}
}

// assess returns the expected time to the response in seconds, including the
// transfer cost and a random jitter, and whether the instance is available to
// calls of the rank.
func (c *Chooser) assess(now time.Time, q *Query, i *instance.Instance) (cost float64, available bool) {
	serviceTime := c.serviceTimes.get(i.Service, q.Order)
	coldCallsPerSecond := 0.0
	if now.Before(i.ColdUntil) {
		serviceTime *= coldFactor
		coldCallsPerSecond = q.ColdCallsPerSecond
	}
	var busyFor time.Duration
	c.shard(i.ID).update(i.ID, func(s *instanceStats) {
		if !s.observed {
			serviceTime *= unobservedFactor
		}
		cost = s.expectedTime(now, q.Order, i.Slots, serviceTime, coldCallsPerSecond)
		available = !s.nodeDown && !now.Before(s.ejectedUntil)
		if i.Addr != q.LocalAddr {
			cost += s.linkTime(now, q.RequestBytes, s.load.ReceiveBacklog) + s.linkTime(now, q.ResponseBytes, s.load.LinkBacklog)
		}
		busyFor = s.busyUntil[rankClass(q.Order)].Sub(now)
	})
	if busyFor > 0 {
		available = false
		cost += busyFor.Seconds()
	}
	if i.State == instance.Lapsed {
		cost *= coldFactor
	}
	if i.Addr != q.LocalAddr {
		cost += c.roundTrips.estimate(q.Zone, q.Region, i) + transferCost(q, i)
	}
	return cost * (1 + maxJitter*q.Rand.Float64()), available
}

// transferCost returns the cost in seconds of sending a call's bytes to another
// zone. Links between zones and regions are narrow and charged by volume, so a
// large call stays in the sender's zone unless that is slower by more than this
// cost.
func transferCost(q *Query, i *instance.Instance) float64 {
	kib := float64(q.RequestBytes+q.ResponseBytes) / 1024
	switch {
	case i.Zone == q.Zone:
		return 0
	case i.Region == q.Region:
		return kib * crossZoneDelayPerKiB.Seconds()
	}
	return kib * crossRegionDelayPerKiB.Seconds()
}

// RoundTrip returns the round-trip time to an instance's node from a node in the
// zone and region.
func (c *Chooser) RoundTrip(zone, region string, to *instance.Instance) time.Duration {
	return time.Duration(c.roundTrips.estimate(zone, region, to) * float64(time.Second))
}

// Start counts a call as outstanding at an instance until Finish.
func (c *Chooser) Start(now time.Time, i *instance.Instance) {
	c.shard(i.ID).update(i.ID, func(s *instanceStats) {
		s.outstanding++
		s.lastUsed = now
	})
}

// Finish records the outcome of a started call.
func (c *Chooser) Finish(now time.Time, i *instance.Instance, o Outcome) {
	c.shard(i.ID).update(i.ID, func(s *instanceStats) { s.finish(now, o) })
	if o.Kind != Completed || o.ServiceTime <= 0 {
		return
	}
	c.serviceTimes.observe(i.Service, o.Order, o.ServiceTime)
}

// ObserveRecovery records that the node of an instance can be reached again after
// NodeDown, so that the instance gets calls.
func (c *Chooser) ObserveRecovery(now time.Time, i *instance.Instance) {
	c.shard(i.ID).update(i.ID, func(s *instanceStats) { s.nodeDown, s.lastUsed = false, now })
}

// ObserveRoundTrip records a round-trip time to a zone, without the time that
// the call spent at the node there. Negative times count as zero.
func (c *Chooser) ObserveRoundTrip(zone string, d time.Duration) {
	c.roundTrips.shard(zone).observe(zone, max(d, 0))
}

// ServiceTime returns the mean service time of a service for calls of a rank, or
// a default if none was observed.
func (c *Chooser) ServiceTime(service string, order int) time.Duration {
	return time.Duration(c.serviceTimes.get(service, order) * float64(time.Second))
}

// Expire drops the statistics of instances that have no outstanding call and were
// last used before the given time.
func (c *Chooser) Expire(before time.Time) {
	for i := range c.shards {
		c.shards[i].expire(before)
	}
}
