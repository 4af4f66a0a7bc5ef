package coldstart

import (
	"sync"
	"time"
)

// Tracker holds until when the upstream beside the node is cold. It is safe for
// concurrent use.
type Tracker struct {
	// mu guards the other fields.
	mu sync.Mutex
	// reportedUntil is what the last health response said.
	reportedUntil time.Time
	// lost is set while it is unknown whether the upstream has started again: since the
	// node started or could not connect, until a health response arrives. lostAt is when
	// that was seen last.
	lost   bool
	lostAt time.Time
}

// NewTracker returns a tracker of an upstream that may just have started: a node that
// starts does not know whether its upstream started with it.
func NewTracker(now time.Time) *Tracker { return &Tracker{lost: true, lostAt: now} }

// ObserveLost records that the upstream could not be reached. It may start again at any
// moment from now on.
func (t *Tracker) ObserveLost(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost, t.lostAt = true, now
}

// ObserveHealth records how long the upstream remains cold by a health response; zero
// if it is not cold.
func (t *Tracker) ObserveHealth(now time.Time, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost, t.reportedUntil = false, now.Add(remaining)
}

// Lost reports whether a health response is needed to tell whether the upstream is cold.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Cold reports whether the upstream is cold at now. listedUntil is when its published
// entry says that it is no longer cold; coldStart is how long upstreams of its service
// are cold after a start, which is assumed of a lost upstream.
func (t *Tracker) Cold(now, listedUntil time.Time, coldStart time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(listedUntil) || now.Before(t.reportedUntil) {
		return true
	}
	return t.lost && now.Before(t.lostAt.Add(coldStart))
}
