package platformserver

import (
	"sync"
	"time"
)

// counter counts calls in total and by second.
type counter struct {
	// mu guards all fields.
	mu     sync.Mutex
	stats  Stats
	second int64
	inIt   uint64
}

func (c *counter) call(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Calls++
	if s := now.Unix(); s != c.second {
		c.second, c.inIt = s, 0
	}
	c.inIt++
	c.stats.MaxPerSecond = max(c.stats.MaxPerSecond, c.inIt)
}

func (c *counter) waiting(delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Waiting += delta
}

func (c *counter) bytes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Bytes += uint64(n)
}

func (c *counter) get() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
