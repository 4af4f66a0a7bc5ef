package state

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// watchShard holds when members were last heard.
type watchShard struct {
	// mu guards heard and suspects.
	mu    sync.Mutex
	heard map[string]time.Time
	// suspects holds the records whose suspicion this node raised, by VM id.
	suspects map[string]member.Member
}

func (s *watchShard) suspect(m member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[m.VM] = m
}

// suspectedHere reports whether this node raised a suspicion of the same
// incarnation of a member.
func (s *watchShard) suspectedHere(m member.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, ok := s.suspects[m.VM]
	return ok && own.Boot == m.Boot && own.Incarnation == m.Incarnation
}

func (s *watchShard) mark(vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, watched := s.heard[vm]; watched {
		s.heard[vm] = now
	}
}

// since returns how long a member has been silent; watching starts with the
// first call.
func (s *watchShard) since(vm string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.heard[vm]
	if !ok {
		s.heard[vm] = now
		return 0
	}
	return now.Sub(last)
}

func (s *watchShard) retain(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm := range s.heard {
		if !keep[vm] {
			delete(s.heard, vm)
		}
	}
	// A suspicion outlives the watch by at most its timeout; older entries
	// only take space.
	if len(s.suspects) > maxSuspectsKept {
		clear(s.suspects)
	}
}

func (s *watchShard) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.heard)
	clear(s.suspects)
}
