package state

import (
	"sync"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Self is the node's own member record.
type Self struct {
	// mu guards m.
	mu sync.RWMutex
	m  member.Member
}

// NewSelf returns the record that a process starts with.
func NewSelf(m member.Member) *Self { return &Self{m: m} }

// Get returns the current record.
func (s *Self) Get() member.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.m
}

// Refute raises the incarnation above a claim of a peer and returns the new
// record. A node that is leaving stays leaving.
func (s *Self) Refute(claim member.Member, at int64) member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Incarnation = max(s.m.Incarnation, claim.Incarnation) + 1
	s.m.ChangedAt = at
	return s.m
}

// Leave sets the status to leaving and returns the new record.
func (s *Self) Leave(at int64) member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Status = member.Leaving
	s.m.Incarnation++
	s.m.ChangedAt = at
	return s.m
}
