package state

import (
	"sync"

	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/snapshot"
)

// maxCachedResponses bounds the cache; it is small because nearly all peers
// hold the same base version.
const maxCachedResponses = 4

// PullResponseCache holds the encoded responses to pulls of the version in force,
// so that a node compresses a delta once and not for each child in the
// dissemination tree.
type PullResponseCache struct {
	// mu guards id and byBase.
	mu     sync.Mutex
	id     snapshot.ID
	byBase map[snapshot.ID]*message.PullResponse
}

// Get returns the response that encodes the version id as a delta to base. The
// second result is false if it is not cached.
func (c *PullResponseCache) Get(id, base snapshot.ID) (*message.PullResponse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id != id {
		return nil, false
	}
	resp, ok := c.byBase[base]
	return resp, ok
}

// Put stores a response, which must not be changed afterwards. A response for
// another version empties the cache first, and so does a full cache.
func (c *PullResponseCache) Put(base snapshot.ID, resp *message.PullResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id != resp.ID || len(c.byBase) >= maxCachedResponses {
		c.id, c.byBase = resp.ID, map[snapshot.ID]*message.PullResponse{}
	}
	c.byBase[base] = resp
}
