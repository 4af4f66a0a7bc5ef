package state

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

const livenessShardCount = 8

// Liveness records the last contact with each monitored member and the
// suspicions that this node raised, in shards by VM id.
type Liveness struct {
	shards [livenessShardCount]livenessShard
}

// NewLiveness returns a Liveness that monitors no member.
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

// RecordContact records a message from a member; it has no effect if the member
// is not monitored.
func (l *Liveness) RecordContact(vm string, now time.Time) { l.shard(vm).recordContact(vm, now) }

// Silence returns the time since the last contact with a member. The first call
// for a member starts to monitor it and returns 0.
func (l *Liveness) Silence(vm string, now time.Time) time.Duration {
	return l.shard(vm).silence(vm, now)
}

// AddSuspicion records that this node suspects a member.
func (l *Liveness) AddSuspicion(m member.Member) { l.shard(m.VM).addSuspicion(m) }

// HasSuspicion reports whether this node itself suspected the same boot and
// incarnation of a member.
func (l *Liveness) HasSuspicion(m member.Member) bool { return l.shard(m.VM).hasSuspicion(m) }

// Retain stops monitoring all members that are not in keep. It also drops the
// suspicions of any shard that holds more than maxSuspicionsPerShard.
func (l *Liveness) Retain(keep map[string]bool) {
	for i := range l.shards {
		l.shards[i].retain(keep)
	}
}

// Reset drops all contacts and suspicions. It is called after a pause of the
// node itself, which makes every member seem silent.
func (l *Liveness) Reset() {
	for i := range l.shards {
		l.shards[i].reset()
	}
}
