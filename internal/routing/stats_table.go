package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// statsShards limits lock contention: a node calls a few hundred VMs, and each
// call has its own goroutine.
const statsShards = 32

// statsTable holds the statistics of all upstreams in shards by VM id. It is safe
// for concurrent use.
type statsTable struct {
	shards [statsShards]statsShard
}

func newStatsTable() *statsTable {
	t := &statsTable{}
	for i := range t.shards {
		t.shards[i].byVM = map[string]*upstreamStats{}
	}
	return t
}

func (t *statsTable) shard(vm string) *statsShard {
	return &t.shards[xxhash.Sum64String(vm)%statsShards]
}

func (t *statsTable) expire(since time.Time) {
	for i := range t.shards {
		t.shards[i].expire(since)
	}
}

func (t *statsTable) size() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.byVM)
		s.mu.Unlock()
	}
	return n
}
