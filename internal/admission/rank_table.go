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

// with returns a table in which ranks replace entries of the same name. Other
// entries are kept without a floor, because a call that was read under the
// previous version may still arrive.
func (t *rankTable) with(ranks []*config.Rank) *rankTable {
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

// adding returns a table with one more rank.
func (t *rankTable) adding(rank *config.Rank) *rankTable {
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

// anyWaiting reports whether a rank other than e has a waiting call.
func (t *rankTable) anyWaiting(e *rankEntry) bool {
	for _, other := range t.ordered {
		if other != e && !other.idle() {
			return true
		}
	}
	return false
}

// floorsBeside returns the sum of the floors of less urgent ranks than e that
// have waiting calls; more urgent calls are counted in full by their number.
func (t *rankTable) floorsBeside(e *rankEntry) float64 {
	sum := 0.0
	for _, other := range t.ordered {
		if other.rank.Order > e.rank.Order && !other.idle() {
			sum += other.rank.Floor
		}
	}
	return min(sum, maxFloorsBeside)
}

// maxFloorsBeside keeps a forecast finite when the floors leave nothing.
const maxFloorsBeside = 0.95

// sameRanks reports whether the table was made from these ranks.
func (t *rankTable) sameRanks(ranks []*config.Rank) bool {
	for _, r := range ranks {
		if e, ok := t.byName[r.Name]; !ok || e.rank != r {
			return false
		}
	}
	return true
}
