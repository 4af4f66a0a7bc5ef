package platformserver

import (
	"sync"
	"time"
)

// counter counts reads, in total and in the current Unix second.
type counter struct {
	// mu guards all fields.
	mu    sync.Mutex
	stats Stats
	// second is the Unix time that readsInSecond counts.
	second        int64
	readsInSecond uint64
}

func (c *counter) countRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	if s := now.Unix(); s != c.second {
		c.second, c.readsInSecond = s, 0
	}
	c.readsInSecond++
	c.stats.MaxReadsPerSecond = max(c.stats.MaxReadsPerSecond, c.readsInSecond)
}

func (c *counter) addWatches(delta int64) {
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
