package admission

import (
	"github.com/filbertpier/filbertpier/config"
)

// rankEntry holds a rank's configuration, queue and slot usage. The
// configuration is immutable: a change creates a new entry that shares queue
// and usage with the old one.
type rankEntry struct {
	rank  *config.Rank
	queue *rankQueue
	usage *rankUsage
}

func newRankEntry(rank *config.Rank) *rankEntry {
	return &rankEntry{rank: rank, queue: &rankQueue{}, usage: &rankUsage{}}
}

// withRank returns an entry with a new configuration and the same queue and
// usage.
func (e *rankEntry) withRank(rank *config.Rank) *rankEntry {
	return &rankEntry{rank: rank, queue: e.queue, usage: e.usage}
}

// queueEmpty reports whether the rank has no waiting call.
func (e *rankEntry) queueEmpty() bool { return e.queue.length.Load() == 0 }
