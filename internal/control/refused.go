package control

import (
	"sync"

	"github.com/filbertpier/filbertpier/snapshot"
)

// refused remembers versions whose content is invalid, so that each is checked
// once and not fetched again.
type refused struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[snapshot.ID]error
}

func newRefused() *refused { return &refused{byID: map[snapshot.ID]error{}} }

func (r *refused) add(id snapshot.ID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) >= maxRefused {
		for oldest := range r.byID {
			if oldest.Version < id.Version {
				delete(r.byID, oldest)
				break
			}
		}
	}
	if len(r.byID) < maxRefused {
		r.byID[id] = err
	}
}

func (r *refused) has(id snapshot.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byID[id]
	return ok
}

func (r *refused) all() map[snapshot.ID]error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[snapshot.ID]error, len(r.byID))
	for id, err := range r.byID {
		out[id] = err
	}
	return out
}
