package quarantine

import (
	"sync"
	"time"
)

// shard holds the fingerprints that hash to it.
type shard struct {
	// mu guards entries.
	mu      sync.Mutex
	entries map[Fingerprint]entry
}

// lookup returns the state of f and how long it lasts; zero for StateClear.
func (s *shard) lookup(now time.Time, f Fingerprint) (State, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	if !ok || e.state == StateClear || !now.Before(e.expiresAt) {
		return StateClear, 0
	}
	return e.state, e.expiresAt.Sub(now)
}

// record raises the state of f until now plus lifetime, and returns the resulting
// state and whether the request had succeeded since it was last suspect. An entry that
// has not expired is never downgraded.
func (s *shard) record(now time.Time, f Fingerprint, state State, lifetime time.Duration) (result State, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.entries[f]
	expiresAt := now.Add(lifetime)
	if known && now.Before(old.expiresAt) {
		succeeded = old.state == StateClear
		state = max(state, old.state)
		if old.expiresAt.After(expiresAt) {
			expiresAt = old.expiresAt
		}
	}
	if !known && len(s.entries) >= maxEntriesPerShard {
		s.evict(now)
	}
	s.entries[f] = entry{state: state, expiresAt: expiresAt}
	return state, succeeded
}

// evict frees at least one entry of a full shard. It deletes the expired entries
// or, if there are none, that of the lowest state which expires first.
func (s *shard) evict(now time.Time) {
	var victimFingerprint Fingerprint
	var victim *entry
	for f, e := range s.entries {
		if !now.Before(e.expiresAt) {
			delete(s.entries, f)
			continue
		}
		if victim == nil || e.state < victim.state || e.state == victim.state && e.expiresAt.Before(victim.expiresAt) {
			victimFingerprint, victim = f, &e
		}
	}
	if len(s.entries) >= maxEntriesPerShard {
		delete(s.entries, victimFingerprint)
	}
}

// clear records that f has succeeded if it is a suspect, and reports whether it was
// one.
func (s *shard) clear(now time.Time, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	if !ok || e.state != StateSuspect || !now.Before(e.expiresAt) {
		return false
	}
	s.entries[f] = entry{state: StateClear, expiresAt: now.Add(EntryLifetime)}
	return true
}

// quarantined appends the quarantined fingerprints to list.
func (s *shard) quarantined(now time.Time, list []Quarantined) []Quarantined {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, e := range s.entries {
		if e.state == StateQuarantined && now.Before(e.expiresAt) {
			list = append(list, Quarantined{Fingerprint: f, Remaining: e.expiresAt.Sub(now)})
		}
	}
	return list
}
