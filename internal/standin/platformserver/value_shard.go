package platformserver

import (
	"sync"
	"time"
)

// valueShard holds a subset of the keys with their recent revisions.
type valueShard struct {
	// mu guards history and changed.
	mu      sync.Mutex
	history map[string][]value
	changed chan struct{}
}

func (s *valueShard) put(key string, v value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history[key] = append(s.history[key], v)
	if n := len(s.history[key]); n > maxRevisions {
		s.history[key] = s.history[key][n-maxRevisions:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// getAsOf returns the newest revision that was published at asOf or before,
// whether there is one, and a channel that is closed at the next change of the
// shard.
func (s *valueShard) getAsOf(key string, asOf time.Time) (value, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.history[key]
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].publishedAt.After(asOf) {
			return h[i], true, s.changed
		}
	}
	return value{}, false, s.changed
}
