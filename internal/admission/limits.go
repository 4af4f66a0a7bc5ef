package admission

import (
	"slices"

	"github.com/filbertpier/filbertpier/config"
)

// Limits configures a Gate.
type Limits struct {
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// Connections bounds running and waiting calls together, since each of
	// them holds a connection. If it is zero, defaultMaxWaiting bounds the
	// waiting calls.
	Connections int
	// CallsPerSecond is the number of calls per second that the upstream takes;
	// zero if it names no limit.
	CallsPerSecond float64
	// Ranks lists the ranks with their order, floor and target. A rank that is
	// not listed is added when its first call arrives.
	Ranks []*config.Rank
}

// defaultMaxWaiting bounds the waiting calls until a configuration version sets
// the upstream's connections; deployed configurations allow about 100.
const defaultMaxWaiting = 100

func (l Limits) maxRunning() int {
	if l.Connections > 0 {
		return min(l.Slots, l.Connections)
	}
	return l.Slots
}

func (l Limits) maxWaiting() int {
	if l.Connections > 0 {
		return max(l.Connections-l.Slots, 0)
	}
	return defaultMaxWaiting
}

func (l Limits) equal(other Limits) bool {
	return l.Slots == other.Slots && l.Connections == other.Connections && l.CallsPerSecond == other.CallsPerSecond && slices.Equal(l.Ranks, other.Ranks)
}
