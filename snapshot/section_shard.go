package snapshot

import (
	"sync"

	"github.com/filbertpier/filbertpier/config/manifest"
)

// sectionShard holds the sections of one shard under its own lock.
type sectionShard struct {
	// mu guards byDigest.
	mu       sync.RWMutex
	byDigest map[manifest.Digest][]byte
}

func (s *sectionShard) get(d manifest.Digest) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	raw, ok := s.byDigest[d]
	return raw, ok
}

func (s *sectionShard) put(d manifest.Digest, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byDigest[d] = raw
}

// retain removes the sections whose digest is not in keep.
func (s *sectionShard) retain(keep map[manifest.Digest]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for d := range s.byDigest {
		if !keep[d] {
			delete(s.byDigest, d)
		}
	}
}
