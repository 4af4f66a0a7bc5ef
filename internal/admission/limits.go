package admission

import (
	"slices"

	"github.com/filbertpier/filbertpier/config"
)

// Limits configures a Gate.
type Limits struct {
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// Connections bounds running and waiting calls together: each of them
	// holds a connection. Zero means unboundedQueue more than Slots.
	Connections int
	// Ranks gives order, floor and target of each rank. A rank that is not
	// listed is added when its first call arrives.
	Ranks []*config.Rank
}

// unboundedQueue is the bound on waiting calls until a version gives the
// upstream's connections; both deployments allow about 100.
const unboundedQueue = 100

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
	return unboundedQueue
}

func (l Limits) equal(o Limits) bool {
	return l.Slots == o.Slots && l.Connections == o.Connections && slices.Equal(l.Ranks, o.Ranks)
}
