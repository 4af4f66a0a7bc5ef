package member

import "sync"

// maxCachedRanks bounds the ranks cached by a view. A node asks only for its
// own ranks as a reader, as a gateway and per version, a few of which are in
// use at a time.
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
