package admission

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
)

// rankQueue holds the waiting calls of one rank, earliest deadline first. It
// is one shard of a Gate's waiting calls.
type rankQueue struct {
	// mu guards tickets.
	mu      sync.Mutex
	tickets []*Ticket
	// length equals len(tickets); it is read without the lock.
	length atomic.Int64
}

// position returns the number of tickets before t, the length of the queue, and
// the last ticket if it comes after t. t itself need not be queued.
func (q *rankQueue) position(t *Ticket) (before, length int, last *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before, length = q.search(t), len(q.tickets)
	if before < length {
		last = q.tickets[length-1]
	}
	return before, length, last
}

// search returns the index at which t is or would be inserted.
func (q *rankQueue) search(t *Ticket) int {
	return sort.Search(len(q.tickets), func(i int) bool { return !q.tickets[i].before(t) })
}

// push inserts t in order. Few tickets have to be moved: calls mostly arrive in
// the order of their deadlines, so t usually goes to the end, and the number of
// waiting calls is limited.
func (q *rankQueue) push(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tickets = slices.Insert(q.tickets, q.search(t), t)
	q.length.Store(int64(len(q.tickets)))
}

// popFirst removes and returns the first ticket, or returns nil if there is
// none.
func (q *rankQueue) popFirst() *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remove(0)
}

// popLast removes and returns the last ticket, or returns nil if there is none.
func (q *rankQueue) popLast() *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remove(len(q.tickets) - 1)
}

// cancel removes t and reports whether it was waiting.
func (q *rankQueue) cancel(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := q.search(t)
	if i >= len(q.tickets) || q.tickets[i] != t {
		return false
	}
	q.remove(i)
	return true
}

// remove removes and returns the ticket at index i, or returns nil if there is
// none.
func (q *rankQueue) remove(i int) *Ticket {
	if i < 0 || i >= len(q.tickets) {
		return nil
	}
	t := q.tickets[i]
	q.tickets = slices.Delete(q.tickets, i, i+1)
	q.length.Store(int64(len(q.tickets)))
	return t
}
