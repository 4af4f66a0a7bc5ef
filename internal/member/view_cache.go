package member

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRebuildInterval bounds how often the view is rebuilt while many
	// records change, as in a mass restart.
	minRebuildInterval = 100 * time.Millisecond
	// rebuildIntervalPerMember lengthens the interval in large fleets, where
	// building the view takes several milliseconds: to 365 ms at 7,300 members.
	rebuildIntervalPerMember = 50 * time.Microsecond
)

// viewCache holds the most recent view of a table.
type viewCache struct {
	current atomic.Pointer[View]
	// mu serialises rebuilding; current is read without it.
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
	v := newView(t.allUnordered(), generation, now)
	c.current.Store(v)
	return v
}

// isFresh reports whether a view may still be used. A view built after now also
// counts as fresh: a caller with an older time may run concurrently with the
// one that built the view.
func (c *viewCache) isFresh(v *View, now time.Time, t *Table) bool {
	return v.generation == t.generation.Load() || now.Sub(v.builtAt) < max(minRebuildInterval, time.Duration(len(v.all))*rebuildIntervalPerMember)
}
