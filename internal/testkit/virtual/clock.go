package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with its pending events. It is not safe for
// concurrent use.
type Clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// NewClock returns a clock at a fixed date.
func NewClock() *Clock { return &Clock{now: time.Unix(1_800_000_000, 0)} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After calls run once d has passed.
func (c *Clock) After(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, run: run})
}

// Advance lets d pass.
func (c *Clock) Advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
