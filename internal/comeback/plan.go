package comeback

import (
	"math"
	"time"

	"github.com/filbertpier/filbertpier/internal/halflife"
)

const (
	// rateHalfLife is the half-life of the rate of served calls.
	rateHalfLife = time.Second
	// returnShare is the share of the served calls that callers who come back may make
	// up. The remainder is left to new calls.
	returnShare = 0.5
	// minPerSecond is the rate at which callers may come back while few calls are served,
	// so that the first ones find out whether there is room again.
	minPerSecond = 2.0
)

// plan spreads the callers of one key. It is guarded by the lock of its shard.
type plan struct {
	// served is the decayed number of served calls at servedAt.
	served   float64
	servedAt time.Time
	// lastReturn is when the caller that was told last comes back.
	lastReturn time.Time
}

func (p *plan) observeServed(now time.Time) {
	p.decay(now)
	p.served++
}

func (p *plan) decay(now time.Time) {
	if elapsed := now.Sub(p.servedAt); elapsed > 0 {
		p.served *= halflife.Weight(elapsed, rateHalfLife)
		p.servedAt = now
	}
}

// perSecond returns the rate of served calls: a decayed count is the rate times the
// half-life divided by ln 2.
func (p *plan) perSecond(now time.Time) float64 {
	p.decay(now)
	return p.served * math.Ln2 / rateHalfLife.Seconds()
}

func (p *plan) next(now time.Time, wait, limit time.Duration) (after time.Duration, ok bool) {
	interval := time.Duration(float64(time.Second) / max(returnShare*p.perSecond(now), minPerSecond))
	at := now.Add(wait)
	if later := p.lastReturn.Add(interval); later.After(at) {
		at = later
	}
	if at.Sub(now) > limit {
		return limit, false
	}
	p.lastReturn = at
	return at.Sub(now), true
}
