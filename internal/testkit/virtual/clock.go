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

// NewClock returns a clock at a fixed date, so that runs are reproducible.
func NewClock() *Clock { return &Clock{now: time.Unix(1_800_000_000, 0)} }

// Now returns the virtual time. It changes only within Advance.
func (c *Clock) Now() time.Time { return c.now }

// AfterFunc schedules run to be called after d; a negative d counts as zero.
func (c *Clock) AfterFunc(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{due: c.now.Add(max(d, 0)), seq: c.seq, run: run})
}

// Advance moves the clock forward by d. It runs the events that fall due within d
// in time order, including those that are scheduled meanwhile.
func (c *Clock) Advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].due.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.due
		e.run()
	}
	c.now = end
}
