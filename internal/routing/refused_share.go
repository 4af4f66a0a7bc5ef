package routing

import "time"

// refusedShare is the moving share of refused calls of one rank.
type refusedShare struct {
	share      float64
	observedAt time.Time
}

const (
	// rankClasses bounds the ranks that are told apart; less urgent ones share
	// the last class. A flood of one rank is refused while others are served,
	// so refusals of one rank say nothing about another.
	rankClasses = 4
	// refusedWeight is the weight of one call in the share.
	refusedWeight = 1.0 / 8
	// refusedHalfLife lets the share fade without calls, so that an upstream
	// whose flood has ended is tried again.
	refusedHalfLife = 500 * time.Millisecond
)

func rankClass(order int) int { return min(max(order, 0), rankClasses-1) }

// at returns the share at a time.
func (r *refusedShare) at(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * fade(now.Sub(r.observedAt), refusedHalfLife)
}

func (r *refusedShare) observe(now time.Time, refused float64) {
	r.share = r.at(now)
	r.share += refusedWeight * (refused - r.share)
	r.observedAt = now
}
