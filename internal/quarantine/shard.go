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

func (s *shard) state(now time.Time, f Fingerprint) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	if !ok || !now.Before(e.expiresAt) {
		return StateClear
	}
	return e.state
}

// record stores the state of f, and returns the resulting one: an entry that has
// not expired is never downgraded.
func (s *shard) record(now time.Time, f Fingerprint, state State) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.entries[f]
	if known && now.Before(old.expiresAt) {
		state = max(state, old.state)
	}
	if !known && len(s.entries) >= maxEntriesPerShard {
		s.evict(now)
	}
	s.entries[f] = entry{state: state, expiresAt: now.Add(EntryLifetime)}
	return state
}

// evict frees at least one entry of a full shard. It deletes the expired entries
// or, if there are none, the suspect that expires first. If there is no suspect
// either, it deletes the quarantined fingerprint that expires first.
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

// clear removes f if it is a suspect, and reports whether it was one.
func (s *shard) clear(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[f]
	if !ok || e.state != StateSuspect {
		return false
	}
	delete(s.entries, f)
	return true
}
