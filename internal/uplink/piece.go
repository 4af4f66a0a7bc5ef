package uplink

import "time"

// piece is a part of an answer that waits for its turn.
type piece struct {
	bytes int
	// due is when the whole answer should have been sent.
	due      time.Time
	sequence uint64
	// ready is closed when the piece may be sent.
	ready chan struct{}
	// index is the place in the queue, or -1.
	index int
}

// before orders pieces by the due time of their answers, then by arrival.
func (p *piece) before(o *piece) bool {
	if p.due.Equal(o.due) {
		return p.sequence < o.sequence
	}
	return p.due.Before(o.due)
}
