package member

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRebuildInterval bounds how often the view is rebuilt while many records
	// change, as in a mass restart.
	minRebuildInterval = 100 * time.Millisecond
	// rebuildIntervalPerMember does so in large fleets, where building the view takes
	// several milliseconds: every 365 ms at 7,300 members.
	rebuildIntervalPerMember = 50 * time.Microsecond
)

// viewCache keeps the last view of a table.
type viewCache struct {
	current atomic.Pointer[View]
	// mu serialises building; last is read without it.
	mu sync.Mutex
}

func (c *viewCache) get(now time.Time, t *Table) *View {
	if v := c.current.Load(); v != nil && c.isFresh(v, now, t) {
		return v
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.current.Load(); v != nil && c.isFresh(v, now, t) {
		return v
	}
	generation := t.generation.Load()
	v := newView(t.unordered(), generation, now)
	c.current.Store(v)
	return v
}

// isFresh also accepts a view from after now: callers with an older time may run
// concurrently with the one that built it.
func (c *viewCache) isFresh(v *View, now time.Time, t *Table) bool {
	return v.generation == t.generation.Load() || now.Sub(v.builtAt) < max(minRebuildInterval, time.Duration(len(v.all))*rebuildIntervalPerMember)
}
