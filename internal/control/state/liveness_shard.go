package state

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// livenessShard is one shard of Liveness.
type livenessShard struct {
	// mu guards lastContact and suspicions.
	mu sync.Mutex
	// lastContact holds when a message last arrived from each monitored member,
	// by VM id.
	lastContact map[string]time.Time
	// suspicions holds the suspect records that this node created, by VM id.
	suspicions map[string]member.Member
}

func (s *livenessShard) addSuspicion(m member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspicions[m.VM] = m
}

// hasSuspicion reports whether this node suspected the same boot and
// incarnation of a member.
func (s *livenessShard) hasSuspicion(m member.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	raised, ok := s.suspicions[m.VM]
	return ok && raised.Boot == m.Boot && raised.Incarnation == m.Incarnation
}

func (s *livenessShard) recordContact(vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, monitored := s.lastContact[vm]; monitored {
		s.lastContact[vm] = now
	}
}

// silence returns the time since the last contact with a member. The first call
// for a member starts to monitor it and returns 0.
func (s *livenessShard) silence(vm string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.lastContact[vm]
	if !ok {
		s.lastContact[vm] = now
		return 0
	}
	return now.Sub(last)
}

func (s *livenessShard) retain(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm := range s.lastContact {
		if !keep[vm] {
			delete(s.lastContact, vm)
		}
	}
	// A suspicion is needed for at most its timeout after the member is no
	// longer monitored, so most entries are obsolete. A recent one may be
	// cleared as well; it then counts as raised by another node.
	if len(s.suspicions) > maxSuspicionsPerShard {
		clear(s.suspicions)
	}
}

func (s *livenessShard) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.lastContact)
	clear(s.suspicions)
}
