package admission

import (
	"github.com/filbertpier/filbertpier/config"
)

// rankEntry binds a rank's configuration to its queue and its account. The
// configuration is immutable; a changed one makes a new entry that shares
// queue and account.
type rankEntry struct {
	rank    *config.Rank
	queue   *rankQueue
	account *account
}

func newRankEntry(rank *config.Rank) *rankEntry {
	return &rankEntry{rank: rank, queue: &rankQueue{}, account: &account{}}
}

// withRank returns an entry with another configuration of the same rank.
func (e *rankEntry) withRank(rank *config.Rank) *rankEntry {
	return &rankEntry{rank: rank, queue: e.queue, account: e.account}
}

// idle reports whether the rank has no waiting call.
func (e *rankEntry) idle() bool { return e.queue.length.Load() == 0 }
