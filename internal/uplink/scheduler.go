package uplink

import (
	"container/heap"
	"time"
)

const (
	// usableShare is the part of the link's rate that is scheduled. The rest
	// carries headers, acknowledgements and messages that are not counted.
	usableShare = 0.9
	// maxQueueDelay is the longest queue delay at which another chunk is granted.
	// The queue delay is the time until linkFreeAt. A small response waits behind
	// large ones for at most maxQueueDelay and the chunk granted last.
	maxQueueDelay = 15 * time.Millisecond
	// minChunkBytes is the lower bound of ChunkBytes; smaller chunks cause more
	// wake-ups than the shorter delay is worth.
	minChunkBytes = 16 << 10
)

// Scheduler decides when the chunks of large responses are sent. Its methods
// take the current time as an argument. It is not safe for concurrent use; Link
// guards it.
type Scheduler struct {
	// rate is in bytes per second; zero means unlimited.
	rate float64
	// linkFreeAt is when the link will have sent all granted and charged bytes.
	linkFreeAt time.Time
	// expected is the number of bytes of admitted responses that are not granted
	// yet.
	expected int
	queue    chunkQueue
	sequence uint64
}

// NewScheduler returns a scheduler for a link with a rate in bytes per second;
// zero means unlimited.
func NewScheduler(bytesPerSecond float64) *Scheduler {
	return &Scheduler{rate: usableShare * bytesPerSecond}
}

// ChunkBytes returns the size of the chunks in which large responses are sent.
// The last chunk of a response can be smaller.
func (s *Scheduler) ChunkBytes() int {
	return max(minChunkBytes, int(s.rate*maxQueueDelay.Seconds()))
}

// duration returns how long a number of bytes take at the scheduled rate; zero
// if the rate is unlimited.
func (s *Scheduler) duration(bytes int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / s.rate * float64(time.Second))
}

// Backlog returns how long the link needs for the granted bytes and for the
// expected ones.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	return max(s.linkFreeAt.Sub(now), 0) + s.duration(s.expected)
}

// Charge counts bytes that are sent now.
func (s *Scheduler) Charge(now time.Time, bytes int) {
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(s.duration(bytes))
}

// AddExpected adds to the expected bytes; a negative number subtracts.
func (s *Scheduler) AddExpected(bytes int) { s.expected = max(s.expected+bytes, 0) }

// Submit requests permission to send a chunk. It returns true if the chunk may
// be sent now; otherwise it is queued and Next returns it later.
func (s *Scheduler) Submit(now time.Time, c *chunk) bool {
	c.index = -1
	if s.rate <= 0 || len(s.queue) == 0 && s.canGrant(now) {
		s.Charge(now, c.bytes)
		return true
	}
	s.sequence++
	c.sequence = s.sequence
	heap.Push(&s.queue, c)
	return false
}

// canGrant reports whether the queue delay in the network permits another
// chunk.
func (s *Scheduler) canGrant(now time.Time) bool { return s.linkFreeAt.Sub(now) <= maxQueueDelay }

// Withdraw removes a chunk from the queue. It returns false if the chunk is not
// queued.
func (s *Scheduler) Withdraw(c *chunk) bool {
	if c.index < 0 {
		return false
	}
	heap.Remove(&s.queue, c.index)
	return true
}

// Next returns the chunks that may be sent now and how long to wait before the
// next call, which is zero if no chunk is queued.
func (s *Scheduler) Next(now time.Time) (ready []*chunk, wait time.Duration) {
	for len(s.queue) > 0 {
		if !s.canGrant(now) {
			return ready, s.linkFreeAt.Sub(now) - maxQueueDelay
		}
		c := heap.Pop(&s.queue).(*chunk)
		s.Charge(now, c.bytes)
		ready = append(ready, c)
	}
	return ready, 0
}
