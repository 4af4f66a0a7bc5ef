package main

import "time"

// timeline is a heap of events; it belongs to one goroutine.
type timeline struct {
	now  int64
	seq  uint64
	heap []event
}

var epoch = time.Unix(1_700_000_000, 0)

func (t *timeline) time() time.Time { return epoch.Add(time.Duration(t.now)) }

func (t *timeline) after(d time.Duration, run func()) {
	t.seq++
	t.heap = append(t.heap, event{at: t.now + int64(max(d, 0)), seq: t.seq, run: run})
	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.heap[i].before(t.heap[parent]) {
			break
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// runUntil handles all events up to a time.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.heap) > 0 && t.heap[0].at <= int64(end) {
		e := t.pop()
		t.now = e.at
		e.run()
	}
}

func (t *timeline) pop() event {
	first, last := t.heap[0], len(t.heap)-1
	t.heap[0] = t.heap[last]
	t.heap[last] = event{}
	t.heap = t.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && t.heap[child+1].before(t.heap[child]) {
			child++
		}
		if !t.heap[child].before(t.heap[i]) {
			return first
		}
		t.heap[i], t.heap[child] = t.heap[child], t.heap[i]
		i = child
	}
}
