package state

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/snapshot"
)

// Join tracks whether the node may serve calls. It must hold the newest version
// reported that it did not refuse. Until the attempt's deadline, enough peers
// must also have replied, one of them ready, and a peer must have sent its whole
// member table or compared it with the node's.
type Join struct {
	// mu guards all fields.
	mu       sync.Mutex
	ready    bool
	deadline time.Time
	// attempt identifies the current attempt to join. Messages that were queued
	// while the process was paused carry an earlier one.
	attempt uint64
	// versions holds the greatest version that each peer has reported.
	versions map[string]snapshot.ID
	// responders and readyResponders hold the peers that replied during this
	// attempt, and those of them that serve calls themselves.
	responders      map[string]bool
	readyResponders map[string]bool
	// tableSynced is set once a peer has sent its whole member table or compared
	// it with the node's. A node that knows only part of the fleet would refuse
	// calls that others could serve.
	tableSynced bool
	// syncRequested is set once RequestTableSync has returned true.
	syncRequested bool
}

// Restart begins an attempt to join. After timeout, replies from peers are no
// longer required.
func (j *Join) Restart(now time.Time, timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ready = false
	j.deadline = now.Add(timeout)
	j.attempt = uint64(now.UnixNano())
	j.versions = map[string]snapshot.ID{}
	j.responders = map[string]bool{}
	j.readyResponders = map[string]bool{}
	j.tableSynced = false
	j.syncRequested = false
}

// RequestTableSync reports whether the node still has to ask a peer for its whole
// member table. It returns true once per attempt at most.
func (j *Join) RequestTableSync() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.tableSynced || j.syncRequested {
		return false
	}
	j.syncRequested = true
	return true
}

// SetTableSynced records that a peer has sent or compared its whole member table.
func (j *Join) SetTableSynced() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tableSynced = true
}

// IsTableSynced reports whether a peer has sent or compared its whole member
// table in this attempt.
func (j *Join) IsTableSynced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tableSynced
}

// IsReady reports whether the node has joined and may serve calls.
func (j *Join) IsReady() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ready
}

// PendingAttempt returns the identifier that requests to peers carry, or 0 if
// the node is ready.
func (j *Join) PendingAttempt() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready {
		return 0
	}
	return j.attempt
}

// RecordVersion records the version that a peer reported. The peer counts as a
// responder only if the message is a reply to the current attempt.
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

// Complete marks the node ready if the conditions described at Join hold, and
// reports whether this call did. peers is the number of other members that are
// not dead. A version that the node refused for its content does not keep it
// from serving.
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
	enoughReplies := len(j.responders) >= min(JoinPeers, peers) && len(j.readyResponders) > 0 && j.tableSynced
	if !enoughReplies && now.Before(j.deadline) {
		return false
	}
	j.ready = true
	return true
}
