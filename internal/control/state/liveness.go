package state

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

const livenessShardCount = 8

// Liveness records when the monitored members were last heard, in shards by VM
// id.
type Liveness struct {
	shards [livenessShardCount]livenessShard
}

// NewLiveness returns watches of no member.
func NewLiveness() *Liveness {
	w := &Liveness{}
	for i := range w.shards {
		w.shards[i].lastContact = map[string]time.Time{}
		w.shards[i].suspicions = map[string]member.Member{}
	}
	return w
}

func (w *Liveness) shard(vm string) *livenessShard {
	return &w.shards[member.ShardOf(vm)%livenessShardCount]
}

// RecordContact records a sign of life of a watched member.
func (w *Liveness) RecordContact(vm string, now time.Time) { w.shard(vm).recordContact(vm, now) }

// Silence returns how long a member has been silent; watching starts with the
// first call.
func (w *Liveness) Silence(vm string, now time.Time) time.Duration {
	return w.shard(vm).silence(vm, now)
}

// AddSuspicion notes that this node raised a suspicion of a member.
func (w *Liveness) AddSuspicion(m member.Member) { w.shard(m.VM).addSuspicion(m) }

// HasSuspicion reports whether this node raised a suspicion of the same
// incarnation of a member.
func (w *Liveness) HasSuspicion(m member.Member) bool { return w.shard(m.VM).hasSuspicion(m) }

// Retain ends the watches of all members but those in keep.
func (w *Liveness) Retain(keep map[string]bool) {
	for i := range w.shards {
		w.shards[i].retain(keep)
	}
}

// Reset forgets all times, after a pause of the node itself.
func (w *Liveness) Reset() {
	for i := range w.shards {
		w.shards[i].reset()
	}
}
