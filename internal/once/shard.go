package once

import (
	"sync"
	"time"
)

// shard holds a part of a table's keys under its own lock.
type shard struct {
	maxKeys  int
	maxBytes int
	// mu guards the fields below.
	mu       sync.Mutex
	keys     map[Key]*Execution
	expiries expiryHeap
	bytes    int
	// latestMs is the latest Unix time seen, in milliseconds. It keeps a clock
	// that steps back from making a discarded key valid again.
	latestMs int64
	// refusedUpToMs is the issue time of the newest key rejected because the
	// shard was full. Unknown keys issued up to then are rejected too, so that a
	// delayed copy of a rejected call cannot run later.
	refusedUpToMs int64
}

func newShard(maxKeys, maxBytes int) shard {
	return shard{maxKeys: maxKeys, maxBytes: maxBytes, keys: map[Key]*Execution{}}
}

func (s *shard) begin(now time.Time, k Key, f Fingerprint) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if e, ok := s.keys[k]; ok {
		return s.decideExisting(e, f)
	}
	switch {
	case k.expiresAtMs() <= s.latestMs || k.IssuedMs > s.latestMs+maxClockSkew.Milliseconds():
		return Decision{Action: ActionExpired}
	case k.IssuedMs <= s.refusedUpToMs:
		return Decision{Action: ActionFull}
	case len(s.keys) >= s.maxKeys:
		s.refusedUpToMs = k.IssuedMs
		return Decision{Action: ActionFull}
	}
	e := &Execution{key: k, fingerprint: f, done: make(chan struct{})}
	s.keys[k] = e
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

func (s *shard) finish(now time.Time, e *Execution, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r.Response != nil {
		size := len(r.Response.Body)
		_, held := s.keys[e.key]
		if size > MaxResponseBytes || s.bytes+size > s.maxBytes || !held {
			r.Response = nil
		} else {
			s.bytes += size
		}
	}
	e.result = r
	close(e.done)
}

// advance moves the shard's clock forward and discards expired keys. It also
// discards a running key whose validity is over, since no call can run or join
// it any more.
func (s *shard) advance(now time.Time) {
	s.latestMs = max(s.latestMs, now.UnixMilli())
	for {
		e, ok := s.expiries.takeExpired(s.latestMs)
		if !ok {
			return
		}
		delete(s.keys, e.key)
		if e.finished() && e.result.Response != nil {
			s.bytes -= len(e.result.Response.Body)
		}
	}
}

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys)
}
