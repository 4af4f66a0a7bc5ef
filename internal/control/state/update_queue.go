package state

import (
	"cmp"
	"slices"
	"sync"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/spread"
)

// UpdateQueue collects member records that are to be forwarded, at most one per
// VM.
type UpdateQueue struct {
	// mu guards pending and origin.
	mu      sync.Mutex
	pending map[string]member.Member
	origin  spread.Origin
}

// NewUpdateQueue returns an empty queue.
func NewUpdateQueue() *UpdateQueue {
	return &UpdateQueue{pending: map[string]member.Member{}, origin: spread.FromSameZone}
}

// Add queues records and reports whether the queue was empty and no longer is.
// The batch takes the origin with the most targets.
func (q *UpdateQueue) Add(origin spread.Origin, members ...member.Member) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	wasEmpty := len(q.pending) == 0
	for _, m := range members {
		if old, ok := q.pending[m.VM]; !ok || m.Supersedes(old) {
			q.pending[m.VM] = m
		}
	}
	q.origin = min(q.origin, origin)
	return wasEmpty && len(q.pending) > 0
}

// Drain empties the queue. The records are sorted by VM id: the first one
// selects the dissemination tree, which must not depend on the iteration order
// of a map.
func (q *UpdateQueue) Drain() ([]member.Member, spread.Origin) {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]member.Member, 0, len(q.pending))
	for _, m := range q.pending {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b member.Member) int { return cmp.Compare(a.VM, b.VM) })
	origin := q.origin
	q.pending = map[string]member.Member{}
	q.origin = spread.FromSameZone
	return out, origin
}
