package once

import "container/heap"

// expiryHeap orders executions by the expiry of their keys. It implements
// heap.Interface; callers use add and popExpired.
type expiryHeap []*Execution

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface. All keys have the same validity, so they expire
// in the order of their issue.
func (h expiryHeap) Less(i, j int) bool { return h[i].key.IssuedMs < h[j].key.IssuedMs }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Execution)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

func (h *expiryHeap) add(e *Execution) { heap.Push(h, e) }

// popExpired removes and returns an execution whose key has expired. It returns
// false if there is none.
func (h *expiryHeap) popExpired(nowMs int64) (*Execution, bool) {
	if len(*h) == 0 || (*h)[0].key.expiresAtMs() > nowMs {
		return nil, false
	}
	return heap.Pop(h).(*Execution), true
}
