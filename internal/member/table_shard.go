package member

import (
	"maps"
	"slices"
	"sync"
)

// tableShard is one shard of a Table. Its digest is the XOR of the hashes of
// its records.
type tableShard struct {
	// mu guards byVM and digest.
	mu     sync.RWMutex
	byVM   map[string]Member
	digest uint64
}

func (s *tableShard) apply(m Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.byVM[m.VM]
	if known && !m.Supersedes(old) {
		return false
	}
	if known {
		s.digest ^= old.hash()
	}
	s.byVM[m.VM] = m
	s.digest ^= m.hash()
	return true
}

func (s *tableShard) get(vm string) (Member, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m, ok := s.byVM[vm]
	return m, ok
}

// appendSorted appends the shard's records sorted by VM id, so that decisions
// do not depend on the iteration order of a map.
func (s *tableShard) appendSorted(out []Member) []Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out = slices.Grow(out, len(s.byVM))
	for _, vm := range slices.Sorted(maps.Keys(s.byVM)) {
		out = append(out, s.byVM[vm])
	}
	return out
}

func (s *tableShard) len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.byVM)
}

func (s *tableShard) appendUnordered(out []Member) []Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out = slices.Grow(out, len(s.byVM))
	for _, m := range s.byVM {
		out = append(out, m)
	}
	return out
}

// expire removes dead members whose status was set before cutoff, in Unix
// milliseconds, and reports whether there were any.
func (s *tableShard) expire(cutoff int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for vm, m := range s.byVM {
		if m.Status == Dead && m.ChangedAt < cutoff {
			s.digest ^= m.hash()
			delete(s.byVM, vm)
			changed = true
		}
	}
	return changed
}
