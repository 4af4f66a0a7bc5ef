package uplink

import (
	"context"
	"sync"
	"time"
)

// SmallResponseBytes is the size up to which an answer is sent without taking turns.
const SmallResponseBytes = 16 << 10

// Link makes large answers take turns on the VM's link. It is safe for
// concurrent use.
type Link struct {
	// mu guards the other fields.
	mu       sync.Mutex
	schedule *Scheduler
	// timer runs while pieces wait.
	timer *time.Timer
}

// NewLink returns a link of some bytes per second; zero means no limit.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{schedule: NewScheduler(bytesPerSecond)}
}

// Backlog returns how long the link is taken by admitted answers.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.schedule.Backlog(time.Now())
}

// Duration returns how long some bytes take on the idle link.
func (l *Link) Duration(bytes int) time.Duration { return l.schedule.duration(bytes) }

// Reserve counts the answer of an admitted call, by its expected size.
func (l *Link) Reserve(bytes int, due time.Time) *Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule.Expect(bytes)
	return &Transfer{link: l, left: bytes, due: due}
}

// acquire waits for the turn of a piece. It returns the error of ctx if that
// ends first.
func (l *Link) acquire(ctx context.Context, p *piece) error {
	l.mu.Lock()
	if l.schedule.Submit(time.Now(), p) {
		l.mu.Unlock()
		return nil
	}
	if l.timer == nil {
		l.arm()
	}
	l.mu.Unlock()
	select {
	case <-p.ready:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.schedule.Withdraw(p) {
		return ctx.Err()
	}
	return nil
}

// arm grants what may be sent and sets the timer for the rest. The lock is
// held.
func (l *Link) arm() {
	ready, wait := l.schedule.Next(time.Now())
	for _, p := range ready {
		close(p.ready)
	}
	l.timer = nil
	if wait > 0 {
		l.timer = time.AfterFunc(wait, l.fire)
	}
}

func (l *Link) fire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arm()
}

// charge counts bytes that are sent without taking turns.
func (l *Link) charge(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule.Charge(time.Now(), bytes)
}
