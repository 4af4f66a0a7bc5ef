package reader

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/spread"
)

const (
	// PerRegion is the number of nodes in each region that hold a watch.
	PerRegion = 2
	// Period is how long one choice of readers lasts, so that the cost of
	// reading moves around and a paused reader is replaced in time.
	Period = 10 * time.Minute
)

// IsReader reports whether self is one of its region's readers.
func IsReader(view *member.View, self member.Member, now time.Time) bool {
	seed := uint64(now.Unix()) / uint64(Period/time.Second)
	rank := spread.RegionRank(view, self, seed)
	return rank >= 0 && rank < PerRegion
}
