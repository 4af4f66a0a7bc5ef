package quarantine

import (
	"sync"
	"time"
)

// shard holds one part of the fingerprints.
type shard struct {
	// mu guards records.
	mu      sync.Mutex
	records map[Fingerprint]record
}

func (s *shard) state(now time.Time, f Fingerprint) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[f]
	if !ok || !now.Before(r.until) {
		return StateClear
	}
	return r.state
}

func (s *shard) report(now time.Time, f Fingerprint, state State) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.records[f]
	if known && now.Before(old.until) {
		state = max(state, old.state)
	}
	if !known && len(s.records) >= maxPerShard {
		s.discard(now)
	}
	s.records[f] = record{state: state, until: now.Add(Duration)}
	return state
}

// discard makes room: it drops what has expired, else the suspect or, without
// suspects, the quarantined fingerprint that expires first.
func (s *shard) discard(now time.Time) {
	var oldest Fingerprint
	var found *record
	for f, r := range s.records {
		if !now.Before(r.until) {
			delete(s.records, f)
			continue
		}
		if found == nil || r.state < found.state || r.state == found.state && r.until.Before(found.until) {
			oldest, found = f, &r
		}
	}
	if len(s.records) >= maxPerShard {
		delete(s.records, oldest)
	}
}

func (s *shard) clear(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[f]
	if !ok || r.state != StateSuspect {
		return false
	}
	delete(s.records, f)
	return true
}
