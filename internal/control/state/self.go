package state

import (
	"sync"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Self holds the node's own member record.
type Self struct {
	// mu guards record.
	mu     sync.RWMutex
	record member.Member
}

// NewSelf returns a Self with the record that the process starts with.
func NewSelf(m member.Member) *Self { return &Self{record: m} }

// Get returns the current record.
func (s *Self) Get() member.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.record
}

// Refute raises the incarnation above that of a peer's claim and returns the
// new record. The status stays, so a node that is leaving is still leaving.
// changedAt is in Unix milliseconds.
func (s *Self) Refute(claim member.Member, changedAt int64) member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Incarnation = max(s.record.Incarnation, claim.Incarnation) + 1
	s.record.ChangedAt = changedAt
	return s.record
}

// Leave sets the status to leaving and returns the new record. changedAt is in
// Unix milliseconds.
func (s *Self) Leave(changedAt int64) member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Status = member.Leaving
	s.record.Incarnation++
	s.record.ChangedAt = changedAt
	return s.record
}
