package member

import "sync"

// maxCachedRanks bounds the ranks cached by a view; a full cache is emptied. A
// node asks only for its own rank, with the current seeds for readers and
// gateways and the seeds of a few recent versions.
const maxCachedRanks = 16

// rankCache caches ranks computed from one view.
type rankCache struct {
	// mu guards byKey.
	mu    sync.Mutex
	byKey map[RankKey]int
}

func (c *rankCache) get(key RankKey, compute func() int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank, ok := c.byKey[key]; ok {
		return rank
	}
	if c.byKey == nil || len(c.byKey) >= maxCachedRanks {
		c.byKey = map[RankKey]int{}
	}
	rank := compute()
	c.byKey[key] = rank
	return rank
}
