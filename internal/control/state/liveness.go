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
	l := &Liveness{}
	for i := range l.shards {
		l.shards[i].lastContact = map[string]time.Time{}
		l.shards[i].suspicions = map[string]member.Member{}
	}
	return l
}

func (l *Liveness) shard(vm string) *livenessShard {
	return &l.shards[member.ShardOf(vm)%livenessShardCount]
}

// RecordContact records a sign of life of a watched member.
func (l *Liveness) RecordContact(vm string, now time.Time) { l.shard(vm).recordContact(vm, now) }

// Silence returns how long a member has been silent; watching starts with the
// first call.
func (l *Liveness) Silence(vm string, now time.Time) time.Duration {
	return l.shard(vm).silence(vm, now)
}

// AddSuspicion notes that this node raised a suspicion of a member.
func (l *Liveness) AddSuspicion(m member.Member) { l.shard(m.VM).addSuspicion(m) }

// HasSuspicion reports whether this node raised a suspicion of the same
// incarnation of a member.
func (l *Liveness) HasSuspicion(m member.Member) bool { return l.shard(m.VM).hasSuspicion(m) }

// Retain ends the watches of all members but those in keep.
func (l *Liveness) Retain(keep map[string]bool) {
	for i := range l.shards {
		l.shards[i].retain(keep)
	}
}

// Reset forgets all times, after a pause of the node itself.
func (l *Liveness) Reset() {
	for i := range l.shards {
		l.shards[i].reset()
	}
}
