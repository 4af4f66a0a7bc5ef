package member

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minViewAge bounds how often the view is rebuilt while many records
	// change, as in a mass restart.
	minViewAge = 100 * time.Millisecond
	// viewAgePerMember does so in large fleets, where building the view takes
	// several milliseconds: every 365 ms at 7,300 members.
	viewAgePerMember = 50 * time.Microsecond
)

// viewCache keeps the last view of a table.
type viewCache struct {
	last atomic.Pointer[View]
	// mu serialises building; last is read without it.
	mu sync.Mutex
}

func (c *viewCache) get(now time.Time, t *Table) *View {
	if v := c.last.Load(); v != nil && c.fresh(v, now, t) {
		return v
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.last.Load(); v != nil && c.fresh(v, now, t) {
		return v
	}
	generation := t.generation.Load()
	v := newView(t.unordered(), generation, now)
	c.last.Store(v)
	return v
}

// fresh also accepts a view from after now: callers with an older time may run
// concurrently with the one that built it.
func (c *viewCache) fresh(v *View, now time.Time, t *Table) bool {
	return v.generation == t.generation.Load() || now.Sub(v.builtAt) < max(minViewAge, time.Duration(len(v.all))*viewAgePerMember)
}
