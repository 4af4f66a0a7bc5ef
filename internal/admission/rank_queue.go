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

// position returns the number of tickets that go before t, and the last ticket
// if it goes after t.
func (q *rankQueue) position(t *Ticket) (before, length int, last *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before, length = q.search(t), len(q.tickets)
	if before < length {
		last = q.tickets[length-1]
	}
	return before, length, last
}

func (q *rankQueue) search(t *Ticket) int {
	return sort.Search(len(q.tickets), func(i int) bool { return !q.tickets[i].before(t) })
}

// push inserts t. Deadlines mostly arrive in order, so the insertion is
// usually at the end; the queue is bounded by the upstream's connections.
func (q *rankQueue) push(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tickets = slices.Insert(q.tickets, q.search(t), t)
	q.length.Store(int64(len(q.tickets)))
}

// popFirst removes the ticket with the earliest deadline, or returns nil.
func (q *rankQueue) popFirst() *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remove(0)
}

// popLast removes the ticket with the latest deadline, or returns nil.
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

func (q *rankQueue) remove(i int) *Ticket {
	if i < 0 || i >= len(q.tickets) {
		return nil
	}
	t := q.tickets[i]
	q.tickets = slices.Delete(q.tickets, i, i+1)
	q.length.Store(int64(len(q.tickets)))
	return t
}
