package reader

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/spread"
)

const (
	// PerRegion is the number of nodes in each region that watch the platform.
	PerRegion = 2
	// RotationPeriod is how long a selection of readers lasts. Rotation spreads
	// the cost of reading and replaces readers that are paused.
	RotationPeriod = 10 * time.Minute
)

// IsReader reports whether self is one of its region's readers at the time now,
// computed from its own view of the members.
func IsReader(view *member.View, self member.Member, now time.Time) bool {
	seed := uint64(now.Unix()) / uint64(RotationPeriod/time.Second)
	rank := spread.RegionRank(view, self, seed)
	return rank >= 0 && rank < PerRegion
}
