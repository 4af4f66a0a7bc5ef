package member

import "sync"

// maxCachedRanks bounds the ranks that a view remembers. A node asks for its own
// reader, gateway and version ranks, of which a few are in use at a time.
const maxCachedRanks = 16

// rankCache remembers ranks of one view.
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
