package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

const watchShardCount = 8

// watches records when the monitored members were last heard, in shards by VM
// id.
type watches struct {
	shards [watchShardCount]watchShard
}

func newWatches() *watches {
	w := &watches{}
	for i := range w.shards {
		w.shards[i].heard = map[string]time.Time{}
		w.shards[i].suspects = map[string]member.Member{}
	}
	return w
}

func (w *watches) shard(vm string) *watchShard {
	return &w.shards[member.ShardOf(vm)%watchShardCount]
}

func (w *watches) mark(vm string, now time.Time) { w.shard(vm).mark(vm, now) }

func (w *watches) since(vm string, now time.Time) time.Duration { return w.shard(vm).since(vm, now) }

func (w *watches) suspect(m member.Member) { w.shard(m.VM).suspect(m) }

func (w *watches) suspectedHere(m member.Member) bool { return w.shard(m.VM).suspectedHere(m) }

func (w *watches) retain(keep map[string]bool) {
	for i := range w.shards {
		w.shards[i].retain(keep)
	}
}

// reset forgets all times, after a pause of the node itself.
func (w *watches) reset() {
	for i := range w.shards {
		w.shards[i].reset()
	}
}
