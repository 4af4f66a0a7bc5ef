package comeback

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const planShards = 16

// Planner holds a plan for each service and rank. It is safe for concurrent use.
type Planner struct {
	shards [planShards]planShard
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner {
	p := &Planner{}
	for i := range p.shards {
		p.shards[i].plans = map[Key]*plan{}
	}
	return p
}

func (p *Planner) shard(k Key) *planShard {
	return &p.shards[(xxhash.Sum64String(k.Service)+uint64(k.Order))%planShards]
}

// ObserveServed records that a call was served.
func (p *Planner) ObserveServed(now time.Time, k Key) {
	p.shard(k).update(k, func(plan *plan) { plan.observeServed(now) })
}

// Next returns after which time a refused caller may come back: at least wait, which is
// how long there is no room for it, and later the more callers were told to come back
// before it. It returns false if that is more than limit; the caller then has no place
// in the plan.
func (p *Planner) Next(now time.Time, k Key, wait, limit time.Duration) (after time.Duration, ok bool) {
	p.shard(k).update(k, func(plan *plan) { after, ok = plan.next(now, wait, limit) })
	return after, ok
}
