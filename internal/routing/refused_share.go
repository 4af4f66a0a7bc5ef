package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/halflife"
)

// refusedShare is the moving average of the share of refused calls in one rank
// class.
type refusedShare struct {
	share      float64
	observedAt time.Time
}

const (
	// rankClasses is the number of refused shares per upstream. Each of the most
	// urgent ranks has its own; all others share the last. In an overload one rank
	// is refused while others are served, so refusals of one rank say nothing
	// about another.
	rankClasses = 4
	// refusedWeight is the weight of a new call in the share.
	refusedWeight = 1.0 / 8
	// refusedHalfLife is the half-life of the share without calls, so that an
	// upstream is tried again after its overload has ended.
	refusedHalfLife = 500 * time.Millisecond
)

func rankClass(order int) int { return min(max(order, 0), rankClasses-1) }

// shareAt returns the share of refused calls, decayed to now.
func (r *refusedShare) shareAt(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * halflife.Weight(now.Sub(r.observedAt), refusedHalfLife)
}

func (r *refusedShare) observe(now time.Time, refused float64) {
	r.share = r.shareAt(now)
	r.share += refusedWeight * (refused - r.share)
	r.observedAt = now
}
