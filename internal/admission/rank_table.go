package admission

import (
	"slices"
	"sort"

	"github.com/filbertpier/filbertpier/config"
)

// rankTable lists the ranks of a Gate, most urgent first. It is immutable.
type rankTable struct {
	byName  map[string]*rankEntry
	ordered []*rankEntry
}

// withRanks returns a table in which ranks replace entries of the same name.
// Other entries are kept without a floor, because a call that was parsed under
// the previous configuration version may still arrive.
func (t *rankTable) withRanks(ranks []*config.Rank) *rankTable {
	next := &rankTable{byName: make(map[string]*rankEntry, len(ranks))}
	for _, r := range ranks {
		if old, ok := t.byName[r.Name]; ok {
			next.add(old.withRank(r))
		} else {
			next.add(newRankEntry(r))
		}
	}
	for name, old := range t.byName {
		if _, ok := next.byName[name]; !ok {
			rank := *old.rank
			rank.Floor = 0
			next.add(old.withRank(&rank))
		}
	}
	next.sort()
	return next
}

// withAddedRank returns a table that also contains rank.
func (t *rankTable) withAddedRank(rank *config.Rank) *rankTable {
	next := &rankTable{byName: make(map[string]*rankEntry, len(t.byName)+1), ordered: slices.Clone(t.ordered)}
	for name, e := range t.byName {
		next.byName[name] = e
	}
	next.add(newRankEntry(rank))
	next.sort()
	return next
}

func (t *rankTable) add(e *rankEntry) {
	t.byName[e.rank.Name] = e
	t.ordered = append(t.ordered, e)
}

func (t *rankTable) sort() {
	sort.SliceStable(t.ordered, func(i, j int) bool { return t.ordered[i].rank.Order < t.ordered[j].rank.Order })
}

// anyWaitingExcept reports whether a rank other than e has a waiting call; e
// may be nil.
func (t *rankTable) anyWaitingExcept(e *rankEntry) bool {
	for _, other := range t.ordered {
		if other != e && !other.queueEmpty() {
			return true
		}
	}
	return false
}

// lessUrgentFloors returns the sum of the floors of the ranks less urgent than e
// that have waiting calls. Floors of more urgent ranks are left out, because a
// forecast counts all waiting calls of these ranks.
func (t *rankTable) lessUrgentFloors(e *rankEntry) float64 {
	sum := 0.0
	for _, other := range t.ordered {
		if other.rank.Order > e.rank.Order && !other.queueEmpty() {
			sum += other.rank.Floor
		}
	}
	return min(sum, maxLessUrgentFloors)
}

// maxLessUrgentFloors keeps a forecast finite if the floors add up to all slots.
const maxLessUrgentFloors = 0.95

// containsRanks reports whether the table holds each of ranks, compared by
// pointer. The table may hold further ranks.
func (t *rankTable) containsRanks(ranks []*config.Rank) bool {
	for _, r := range ranks {
		if e, ok := t.byName[r.Name]; !ok || e.rank != r {
			return false
		}
	}
	return true
}
