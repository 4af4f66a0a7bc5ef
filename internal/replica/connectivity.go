package replica

import (
	"sync"
	"time"
)

// connectivity records whether a node's copy of the items is up to date. It is
// safe for concurrent use.
type connectivity struct {
	// mu guards the other fields.
	mu        sync.Mutex
	connected bool
	// disconnectedAt and reconnectedAt are when connected was last cleared and
	// set. disconnectedAt starts as the time of creation.
	disconnectedAt, reconnectedAt time.Time
	// confirmedAt is when a read last succeeded.
	confirmedAt time.Time
	// lost is closed while connected is not set.
	lost chan struct{}
}

func newConnectivity(now time.Time) *connectivity {
	c := &connectivity{disconnectedAt: now, lost: make(chan struct{})}
	close(c.lost)
	return c
}

// confirm records a successful read. It returns true and the length of the
// outage if this read ended one.
func (c *connectivity) confirm(now time.Time) (outage time.Duration, recovered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = now
	if c.connected {
		return 0, false
	}
	c.connected, c.reconnectedAt, c.lost = true, now, make(chan struct{})
	return now.Sub(c.disconnectedAt), true
}

// lose records a failed read of the platform.
func (c *connectivity) lose(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected {
		c.connected, c.disconnectedAt = false, now
		close(c.lost)
	}
}

func (c *connectivity) isConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

// disconnected returns a channel that is closed once the node is disconnected.
func (c *connectivity) disconnected() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// unstable reports whether the node is disconnected or has been connected for
// less than unstableAfterOutage.
func (c *connectivity) unstable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.connected || now.Sub(c.reconnectedAt) < unstableAfterOutage
}

// confirmedAge returns the time since the last successful read; zero before the
// first one.
func (c *connectivity) confirmedAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(c.confirmedAt)
}
