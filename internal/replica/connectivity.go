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
	// wasConnected is set once connected has been set.
	wasConnected bool
	// disconnectedAt and reconnectedAt are when connected was last cleared and
	// set. disconnectedAt starts as the time of creation; reconnectedAt stays zero if the
	// node connected at once.
	disconnectedAt, reconnectedAt time.Time
	// eraBegunAt is when the node learned last that the platform had returned from an
	// older copy of itself; zero if it never did.
	eraBegunAt time.Time
	// confirmedAt is when the platform sent the last successful read, which may have
	// arrived through other nodes.
	confirmedAt time.Time
	// confirmations counts the advances of confirmedAt.
	confirmations uint64
	// confirmed is closed after the next advance of confirmedAt.
	confirmed chan struct{}
	// lost is closed while connected is not set.
	lost chan struct{}
}

func newConnectivity(now time.Time) *connectivity {
	c := &connectivity{disconnectedAt: now, lost: make(chan struct{}), confirmed: make(chan struct{})}
	close(c.lost)
	return c
}

// confirm records a successful read that the platform sent at sentAt. It returns
// true and the length of the outage if this read ended one. announce wakes those who
// wait for a confirmation.
func (c *connectivity) confirm(now, sentAt time.Time) (outage time.Duration, recovered bool, announce func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	announce = func() {}
	if sentAt.After(c.confirmedAt) {
		c.confirmedAt = sentAt
		c.confirmations++
		previous := c.confirmed
		c.confirmed = make(chan struct{})
		announce = func() { close(previous) }
	}
	if c.connected {
		return 0, false, announce
	}
	outage = now.Sub(c.disconnectedAt)
	if c.wasConnected || outage >= minStartOutage {
		c.reconnectedAt = now
	}
	c.connected, c.wasConnected, c.lost = true, true, make(chan struct{})
	return outage, true, announce
}

// minStartOutage is how long a node must have waited after its start for its first
// successful read to count as the end of an outage. A node that starts beside a sound
// platform reads at once.
const minStartOutage = time.Second

// lose records a failed read of the platform.
func (c *connectivity) lose(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected {
		c.connected, c.disconnectedAt = false, now
		close(c.lost)
	}
}

// beginEra records that the platform returned from an older copy of itself.
func (c *connectivity) beginEra(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eraBegunAt = now
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

// unstable reports whether the node is disconnected, has been connected for
// less than unstableAfterOutage, or has learned of a return of the platform less than
// unstableAfterReturn ago.
func (c *connectivity) unstable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.connected || now.Sub(c.reconnectedAt) < unstableAfterOutage || now.Sub(c.eraBegunAt) < unstableAfterReturn
}

// confirmedSince returns a channel that is closed once the number of confirmations
// differs from the given one.
func (c *connectivity) confirmedSince(confirmations uint64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmations != c.confirmations {
		return closedChannel
	}
	return c.confirmed
}

// lastConfirmation returns the number of confirmations and the time since the last
// one; zero before the first one.
func (c *connectivity) lastConfirmation(now time.Time) (confirmations uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0, 0
	}
	return c.confirmations, now.Sub(c.confirmedAt)
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
