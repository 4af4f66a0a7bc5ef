package once

import (
	"sync"
	"time"
)

// shard holds a part of a table's keys under its own lock.
type shard struct {
	maxKeys int
	// maxResponseBytes limits responseBytes.
	maxResponseBytes int
	// mu guards the fields below.
	mu         sync.Mutex
	executions map[Key]*Execution
	expiries   expiryHeap
	// responseBytes is the total size of the kept response bodies.
	responseBytes int
	// latestMs is the latest time that a caller passed, in Unix milliseconds. It
	// keeps a clock that steps back from making a discarded key valid again.
	latestMs int64
	// refusedUpToMs is the issue time of the newest key rejected because the
	// shard was full. Unknown keys issued up to then are rejected too, so that a
	// delayed copy of a rejected call cannot run later.
	refusedUpToMs int64
}

func newShard(maxKeys, maxResponseBytes int) shard {
	return shard{maxKeys: maxKeys, maxResponseBytes: maxResponseBytes, executions: map[Key]*Execution{}}
}

func (s *shard) begin(now time.Time, k Key, f Fingerprint) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if e, ok := s.executions[k]; ok {
		return s.decideExisting(e, f)
	}
	switch {
	case k.expiresAtMs() <= s.latestMs || k.IssuedMs > s.latestMs+maxClockSkew.Milliseconds():
		return Decision{Action: ActionExpired}
	case k.IssuedMs <= s.refusedUpToMs:
		return Decision{Action: ActionFull}
	case len(s.executions) >= s.maxKeys:
		s.refusedUpToMs = k.IssuedMs
		return Decision{Action: ActionFull}
	}
	e := &Execution{key: k, fingerprint: f, done: make(chan struct{})}
	s.executions[k] = e
	s.expiries.add(e)
	return Decision{Action: ActionRun, Execution: e}
}

// decideExisting decides about a call whose key has an execution.
func (s *shard) decideExisting(e *Execution, f Fingerprint) Decision {
	switch {
	case e.fingerprint != f:
		return Decision{Action: ActionMismatch}
	case e.finished():
		return Decision{Action: ActionReplay, Execution: e}
	}
	return Decision{Action: ActionJoin, Execution: e}
}

// finish sets the result of an execution. It drops a response that is too large or
// does not fit into the shard, and that of a key that has expired meanwhile.
func (s *shard) finish(now time.Time, e *Execution, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r.Response != nil {
		size := len(r.Response.Body)
		_, held := s.executions[e.key]
		if size > MaxResponseBytes || s.responseBytes+size > s.maxResponseBytes || !held {
			r.Response = nil
		} else {
			s.responseBytes += size
		}
	}
	e.result = r
	close(e.done)
}

// advance moves the shard's clock forward and discards expired keys, also those
// whose execution is still running: a later call with the key gets ActionExpired.
func (s *shard) advance(now time.Time) {
	s.latestMs = max(s.latestMs, now.UnixMilli())
	for {
		e, ok := s.expiries.popExpired(s.latestMs)
		if !ok {
			return
		}
		delete(s.executions, e.key)
		if e.finished() && e.result.Response != nil {
			s.responseBytes -= len(e.result.Response.Body)
		}
	}
}

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.executions)
}
