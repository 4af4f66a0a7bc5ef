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
	r.byID[id] = err
	if len(r.byID) <= maxRefused {
		return
	}
	oldest := id
	for other := range r.byID {
		if other.Less(oldest) {
			oldest = other
		}
	}
	delete(r.byID, oldest)
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
