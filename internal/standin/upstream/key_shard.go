package upstream

import "sync"

// keyShard counts the runs of a subset of the idempotency keys.
type keyShard struct {
	// mu guards runs.
	mu   sync.Mutex
	runs map[string]int64
}

func (s *keyShard) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int64{}
	}
	s.runs[key]++
}

func (s *keyShard) copyTo(out map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.runs {
		out[key] = n
	}
}
