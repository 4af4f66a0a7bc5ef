package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	beliefShards = 32
	// unknownService is the service time assumed until one was observed.
	unknownService = 50 * time.Millisecond
	// coldFactor multiplies the service time of an instance that has just
	// started and has not been observed yet.
	coldFactor = 2.0
	// unknownFactor makes an instance attractive that this node has not called
	// yet: it may be new and idle.
	unknownFactor = 0.5
	// spread randomizes expectations, so that senders with the same knowledge
	// do not all choose the same instance.
	spread = 0.15
	// nearEnough is the part of the target within which an answer is expected
	// well in time. Service times vary by a factor of two and more.
	nearEnough = 0.45
	// linkBytes is the size up to which answers do not queue for a link.
	linkBytes = 16 << 10
	// zoneKiB and regionKiB are the delay that is accepted to keep a KiB within
	// a zone or a region.
	zoneKiB   = time.Millisecond
	regionKiB = 4 * time.Millisecond
)

// Chooser places calls. It is safe for concurrent use.
type Chooser struct {
	shards    [beliefShards]shard
	distances *distances
	// typical holds the service time of each rank over all instances.
	typical typicalTimes
}

// NewChooser returns a chooser that has observed nothing.
func NewChooser() *Chooser {
	c := &Chooser{distances: newDistances()}
	for i := range c.shards {
		c.shards[i].byID = map[string]*belief{}
	}
	return c
}

func (c *Chooser) shard(id string) *shard { return &c.shards[xxhash.Sum64String(id)%beliefShards] }

// Choose returns the candidate with the least expected time to an answer, or
// one of the own region that is expected to answer well within the target: a
// faster answer from another region would be worth nothing more, and links
// between regions are narrow. It returns false if no candidate may get the call.
// For each choice the caller calls Start before it sends the call and Finish
// when it ends.
func (c *Chooser) Choose(now time.Time, q Query) (Choice, bool) {
	var best, near, resort Choice
	var bestCost, resortCost float64
	nearCost := nearEnough * q.Target.Seconds()
	usable := 0
	for _, i := range q.Candidates {
		if !i.Serves(now) || q.excluded(i.ID) {
			continue
		}
		cost, open := c.assess(now, &q, i)
		if !open {
			if resort.Instance == nil || cost < resortCost {
				resort, resortCost = c.choice(i, cost), cost
			}
			continue
		}
		usable++
		if best.Instance == nil || cost < bestCost {
			best, bestCost = c.choice(i, cost), cost
		}
		if i.Region == q.Region && cost < nearCost {
			near, nearCost = c.choice(i, cost), cost
		}
	}
	if near.Instance != nil {
		best = near
	}
	if best.Instance == nil {
		resort.LastResort = true
		return resort, resort.Instance != nil
	}
	best.Candidates = usable
	return best, true
}

func (c *Chooser) choice(i *instance.Instance, cost float64) Choice {
	return Choice{Instance: i, Expected: time.Duration(cost * float64(time.Second))}
}

// assess returns the expected time in seconds and whether the instance is in
// service for calls of the rank.
func (c *Chooser) assess(now time.Time, q *Query, i *instance.Instance) (cost float64, open bool) {
	service := c.typical.get(i.Service, q.Order)
	if now.Before(i.ColdUntil) {
		service *= coldFactor
	}
	var busy time.Duration
	c.shard(i.ID).with(i.ID, func(b *belief) {
		if !b.known {
			service *= unknownFactor
		}
		cost = b.expected(now, q.Order, i.Slots, service)
		open = !b.lost && !now.Before(b.outUntil)
		if i.Addr != q.LocalAddr && q.Bytes > linkBytes {
			cost += b.sending(now, q.Bytes)
		}
		busy = b.busyUntil[rankClass(q.Order)].Sub(now)
	})
	if busy > 0 {
		open = false
		cost += busy.Seconds()
	}
	if i.State == instance.Lapsed {
		cost *= coldFactor
	}
	if i.Addr != q.LocalAddr {
		cost += c.distances.to(q.Zone, q.Region, i) + transfer(q, i)
	}
	return cost * (1 + spread*q.Rand.Float64()), open
}

// transfer returns what the bytes of a call between zones are worth in seconds:
// links between zones and regions are narrow and charged by volume, so that a
// large answer is served near unless that is slower by more than this.
func transfer(q *Query, i *instance.Instance) float64 {
	kib := float64(q.Bytes) / 1024
	switch {
	case i.Zone == q.Zone:
		return 0
	case i.Region == q.Region:
		return kib * zoneKiB.Seconds()
	}
	return kib * regionKiB.Seconds()
}

// RoundTrip returns the time to an instance's node and back.
func (c *Chooser) RoundTrip(zone, region string, to *instance.Instance) time.Duration {
	return time.Duration(c.distances.to(zone, region, to) * float64(time.Second))
}

// Start records that a call is sent to an instance.
func (c *Chooser) Start(now time.Time, i *instance.Instance) {
	c.shard(i.ID).with(i.ID, func(b *belief) {
		b.outstanding++
		b.touched = now
	})
}

// Finish records how a started call ended.
func (c *Chooser) Finish(now time.Time, i *instance.Instance, o Outcome) {
	c.shard(i.ID).with(i.ID, func(b *belief) { b.finish(now, o) })
	if o.Kind != Completed || o.ServiceTime <= 0 {
		return
	}
	c.typical.observe(i.Service, o.Order, o.ServiceTime)
}

// ObserveRecovery records that the node of a lost instance can be reached again.
func (c *Chooser) ObserveRecovery(now time.Time, i *instance.Instance) {
	c.shard(i.ID).with(i.ID, func(b *belief) { b.lost, b.touched = false, now })
}

// ObserveRoundTrip records the time to a zone and back without the time spent
// there.
func (c *Chooser) ObserveRoundTrip(zone string, d time.Duration) {
	c.distances.shard(zone).observe(zone, max(d, 0))
}

// ServiceTime returns the service time of a rank at a service.
func (c *Chooser) ServiceTime(service string, order int) time.Duration {
	return time.Duration(c.typical.get(service, order) * float64(time.Second))
}

// Expire forgets instances that were not used since a time.
func (c *Chooser) Expire(before time.Time) {
	for i := range c.shards {
		c.shards[i].expire(before)
	}
}
