package admission

import "slices"

// waiter is a call that waits for a slot.
type waiter struct {
	order   int
	granted chan struct{}
}

// insertByOrder keeps the queue sorted by urgency, then by arrival.
func insertByOrder(queue []*waiter, w *waiter) []*waiter {
	at := len(queue)
	for at > 0 && queue[at-1].order > w.order {
		at--
	}
	return slices.Insert(queue, at, w)
}
