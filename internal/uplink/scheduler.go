package uplink

import (
	"container/heap"
	"time"
)

const (
	// usableShare is the part of the link's rate that is handed out. The rest
	// carries headers, acknowledgements and messages that are not counted.
	usableShare = 0.9
	// maxAhead bounds how far ahead of the link pieces are handed to the
	// network; it is the longest that a small answer waits behind large ones.
	maxAhead = 15 * time.Millisecond
	// minPiece is the least size of a piece; smaller ones cost more wake-ups
	// than they save time.
	minPiece = 16 << 10
)

// Scheduler decides when the pieces of large answers are sent. Time comes in as
// an argument. It is not safe for concurrent use; Link guards it.
type Scheduler struct {
	// rate is in bytes per second; zero means that the link is no limit.
	rate float64
	// free is when all that was granted has left the link.
	free time.Time
	// expected is the number of bytes of admitted answers that were not
	// granted yet.
	expected int
	queue    pieceQueue
	sequence uint64
}

// NewScheduler returns a schedule for a link of some bytes per second; zero
// means that the link is no limit.
func NewScheduler(bytesPerSecond float64) *Scheduler {
	return &Scheduler{rate: usableShare * bytesPerSecond}
}

// PieceBytes returns the size of the pieces in which answers are sent.
func (s *Scheduler) PieceBytes() int {
	return max(minPiece, int(s.rate*maxAhead.Seconds()))
}

// duration returns how long some bytes take on the link.
func (s *Scheduler) duration(bytes int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / s.rate * float64(time.Second))
}

// Backlog returns how long the link is taken by what was granted and by the
// admitted answers that were not sent yet.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	return max(s.free.Sub(now), 0) + s.duration(s.expected)
}

// Charge counts bytes that are sent at once.
func (s *Scheduler) Charge(now time.Time, bytes int) {
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.duration(bytes))
}

// Expect counts bytes of an admitted answer; a negative number takes back what
// was counted.
func (s *Scheduler) Expect(bytes int) { s.expected = max(s.expected+bytes, 0) }

// Submit asks for the turn of a piece. It returns true if it may be sent at
// once; otherwise Next returns it later.
func (s *Scheduler) Submit(now time.Time, p *piece) bool {
	p.index = -1
	if s.rate <= 0 || len(s.queue) == 0 && s.open(now) {
		s.Charge(now, p.bytes)
		return true
	}
	s.sequence++
	p.sequence = s.sequence
	heap.Push(&s.queue, p)
	return false
}

func (s *Scheduler) open(now time.Time) bool { return s.free.Sub(now) <= maxAhead }

// Withdraw removes a piece that waits and reports whether it did.
func (s *Scheduler) Withdraw(p *piece) bool {
	if p.index < 0 {
		return false
	}
	heap.Remove(&s.queue, p.index)
	return true
}

// Next returns the pieces that may be sent now, and how long to wait before
// the next call; zero if no piece waits.
func (s *Scheduler) Next(now time.Time) (ready []*piece, wait time.Duration) {
	for len(s.queue) > 0 {
		if !s.open(now) {
			return ready, s.free.Sub(now) - maxAhead
		}
		p := heap.Pop(&s.queue).(*piece)
		s.Charge(now, p.bytes)
		ready = append(ready, p)
	}
	return ready, 0
}
