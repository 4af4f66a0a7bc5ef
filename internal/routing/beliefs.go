package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// beliefShards spreads the beliefs: a node talks to a few hundred VMs from as
// many goroutines as it has calls.
const beliefShards = 32

// beliefs holds the node's view of all upstreams in shards by VM id. It is
// safe for concurrent use.
type beliefs struct {
	shards [beliefShards]beliefShard
}

func newBeliefs() *beliefs {
	b := &beliefs{}
	for i := range b.shards {
		b.shards[i].byVM = map[string]*belief{}
	}
	return b
}

func (b *beliefs) shard(vm string) *beliefShard {
	return &b.shards[xxhash.Sum64String(vm)%beliefShards]
}

func (b *beliefs) expire(since time.Time) {
	for i := range b.shards {
		b.shards[i].expire(since)
	}
}

func (b *beliefs) size() int {
	n := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		n += len(s.byVM)
		s.mu.Unlock()
	}
	return n
}
