package uplink

import "time"

// chunk is a part of a response that waits to be sent.
type chunk struct {
	bytes int
	// due is when the whole response should be sent.
	due      time.Time
	sequence uint64
	// ready is closed when the chunk may be sent.
	ready chan struct{}
	// index is the position in the queue, or -1.
	index int
}

// before orders chunks by the due time of their responses, then by arrival.
func (c *chunk) before(o *chunk) bool {
	if c.due.Equal(o.due) {
		return c.sequence < o.sequence
	}
	return c.due.Before(o.due)
}
