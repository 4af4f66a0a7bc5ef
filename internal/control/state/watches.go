package state

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

const watchShardCount = 8

// Watches records when the monitored members were last heard, in shards by VM
// id.
type Watches struct {
	shards [watchShardCount]watchShard
}

// NewWatches returns watches of no member.
func NewWatches() *Watches {
	w := &Watches{}
	for i := range w.shards {
		w.shards[i].heard = map[string]time.Time{}
		w.shards[i].suspects = map[string]member.Member{}
	}
	return w
}

func (w *Watches) shard(vm string) *watchShard {
	return &w.shards[member.ShardOf(vm)%watchShardCount]
}

// Mark records a sign of life of a watched member.
func (w *Watches) Mark(vm string, now time.Time) { w.shard(vm).mark(vm, now) }

// Since returns how long a member has been silent; watching starts with the
// first call.
func (w *Watches) Since(vm string, now time.Time) time.Duration { return w.shard(vm).since(vm, now) }

// Suspect notes that this node raised a suspicion of a member.
func (w *Watches) Suspect(m member.Member) { w.shard(m.VM).suspect(m) }

// SuspectedHere reports whether this node raised a suspicion of the same
// incarnation of a member.
func (w *Watches) SuspectedHere(m member.Member) bool { return w.shard(m.VM).suspectedHere(m) }

// Retain ends the watches of all members but those in keep.
func (w *Watches) Retain(keep map[string]bool) {
	for i := range w.shards {
		w.shards[i].retain(keep)
	}
}

// Reset forgets all times, after a pause of the node itself.
func (w *Watches) Reset() {
	for i := range w.shards {
		w.shards[i].reset()
	}
}
