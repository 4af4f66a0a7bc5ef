package control

import (
	"sync"

	"github.com/filbertpier/filbertpier/internal/member"
)

// selfRecord is the node's own member record.
type selfRecord struct {
	// mu guards m.
	mu sync.RWMutex
	m  member.Member
}

func (s *selfRecord) get() member.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.m
}

// refute raises the incarnation above a claim of a peer and returns the new
// record. A node that is leaving stays leaving.
func (s *selfRecord) refute(claim member.Member, at int64) member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Incarnation = max(s.m.Incarnation, claim.Incarnation) + 1
	s.m.ChangedAt = at
	return s.m
}

func (s *selfRecord) leave(at int64) member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Status = member.Leaving
	s.m.Incarnation++
	s.m.ChangedAt = at
	return s.m
}
