package uplink

import (
	"context"
	"sync"
	"time"
)

// SmallBodyBytes is the size up to which a response or a request body is sent
// without being scheduled.
const SmallBodyBytes = 16 << 10

// Link schedules one direction of the VM's link: the sending of large responses or
// the reception of large request bodies. It is safe for concurrent use.
type Link struct {
	// mu guards the other fields.
	mu        sync.Mutex
	scheduler *Scheduler
	// timer calls grantReady for the queued chunks; nil if no call is pending.
	timer *time.Timer
}

// NewLink returns a link with a rate in bytes per second; zero means unlimited.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{scheduler: NewScheduler(bytesPerSecond)}
}

// Backlog returns how long the link needs for the responses or bodies that have
// bandwidth reserved or are on their way.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Backlog(time.Now())
}

// Duration returns how long a number of bytes take on an idle link.
func (l *Link) Duration(bytes int) time.Duration { return l.scheduler.duration(bytes) }

// Reserve adds the expected size of a response or body to the backlog. The returned
// transfer must be closed.
func (l *Link) Reserve(bytes int, due time.Time) *Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.AddExpected(bytes)
	return &Transfer{link: l, remaining: bytes, due: due}
}

// acquire waits until a chunk may be sent. It returns the error of ctx if that
// ends first.
func (l *Link) acquire(ctx context.Context, c *chunk) error {
	l.mu.Lock()
	if l.scheduler.Submit(time.Now(), c) {
		l.mu.Unlock()
		return nil
	}
	if l.timer == nil {
		l.grantReady()
	}
	l.mu.Unlock()
	select {
	case <-c.ready:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.scheduler.Withdraw(c) {
		return ctx.Err()
	}
	return nil
}

// grantReady grants the chunks that may be sent now and sets the timer for the
// remaining ones. The caller holds mu.
func (l *Link) grantReady() {
	ready, wait := l.scheduler.Next(time.Now())
	for _, c := range ready {
		close(c.ready)
	}
	l.timer = nil
	if wait > 0 {
		l.timer = time.AfterFunc(wait, l.onTimer)
	}
}

func (l *Link) onTimer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantReady()
}

// Charge counts bytes that use the link without being scheduled. Scheduled ones get
// the rest of the bandwidth.
func (l *Link) Charge(bytes int) {
	if bytes == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Charge(time.Now(), bytes)
}
