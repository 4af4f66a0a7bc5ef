package platformserver

import (
	"sync"
	"time"
)

// counter counts reads, in total and in the current second of the clock.
type counter struct {
	// mu guards all fields.
	mu            sync.Mutex
	stats         Stats
	second        int64
	callsInSecond uint64
}

func (c *counter) countCall(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	if s := now.Unix(); s != c.second {
		c.second, c.callsInSecond = s, 0
	}
	c.callsInSecond++
	c.stats.MaxReadsPerSecond = max(c.stats.MaxReadsPerSecond, c.callsInSecond)
}

func (c *counter) addWaiting(delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.ActiveWatches += delta
}

func (c *counter) addBytes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Bytes += uint64(n)
}

func (c *counter) current() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
