package state

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/snapshot"
)

// Join tells whether the node may serve calls: it must have asked enough
// peers for their version and hold the greatest that it heard.
type Join struct {
	// mu guards all fields.
	mu       sync.Mutex
	ready    bool
	deadline time.Time
	// attempt identifies the current attempt to join. Messages that waited
	// while the process was paused answer an earlier one.
	attempt  uint64
	versions map[string]snapshot.ID
	// responders and established hold the peers that responders this attempt, and
	// those of them that serve calls themselves.
	responders      map[string]bool
	readyResponders map[string]bool
	// synced is set once a peer has sent its whole member table or compared
	// it with the node's: a node that knows part of the fleet would refuse
	// calls that others could serve.
	synced bool
}

// Restart begins an attempt to join that gives up waiting after timeout.
func (j *Join) Restart(now time.Time, timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ready = false
	j.deadline = now.Add(timeout)
	j.attempt = uint64(now.UnixNano())
	j.versions = map[string]snapshot.ID{}
	j.responders = map[string]bool{}
	j.readyResponders = map[string]bool{}
	j.synced = false
}

// SetSynced notes that a peer has sent or compared its whole member table.
func (j *Join) SetSynced() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.synced = true
}

// IsSynced reports whether a peer has done so.
func (j *Join) IsSynced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.synced
}

// IsReady reports whether the node may serve.
func (j *Join) IsReady() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ready
}

// PendingAttempt returns the attempt that questions carry, or 0 if the node is ready.
func (j *Join) PendingAttempt() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready {
		return 0
	}
	return j.attempt
}

// RecordVersion notes the version of a peer; it counts as asked if the message answers
// a question of the current attempt.
func (j *Join) RecordVersion(vm string, id snapshot.ID, ready, isReply bool, attempt uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready {
		return
	}
	if j.versions[vm].Less(id) {
		j.versions[vm] = id
	}
	if !isReply || attempt != j.attempt {
		return
	}
	j.responders[vm] = true
	if ready {
		j.readyResponders[vm] = true
	}
}

// Complete marks the node ready if it may be, and reports whether this call
// did. known is the number of other live members. A version that the node
// refused for its content does not keep it from serving.
func (j *Join) Complete(now time.Time, current snapshot.ID, peers int, refused func(snapshot.ID) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready || current.IsZero() {
		return false
	}
	for _, id := range j.versions {
		if current.Less(id) && !refused(id) {
			return false
		}
	}
	enough := len(j.responders) >= min(JoinPeers, peers) && len(j.readyResponders) > 0 && j.synced
	if !enough && now.Before(j.deadline) {
		return false
	}
	j.ready = true
	return true
}
