package state

import (
	"sync"

	"github.com/filbertpier/filbertpier/snapshot"
)

// RefusedVersions holds versions whose content is invalid, so that each is
// checked once and not fetched again.
type RefusedVersions struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[snapshot.ID]error
}

// NewRefusedVersions returns an empty set of refused versions.
func NewRefusedVersions() *RefusedVersions { return &RefusedVersions{byID: map[snapshot.ID]error{}} }

// Add records a version with the reason for its refusal. If the limit is
// exceeded, the lowest version is dropped.
func (r *RefusedVersions) Add(id snapshot.ID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = err
	if len(r.byID) <= maxRefusedVersions {
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

// Has reports whether a version was refused.
func (r *RefusedVersions) Has(id snapshot.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byID[id]
	return ok
}

// All returns a copy of the refused versions with the reasons.
func (r *RefusedVersions) All() map[snapshot.ID]error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[snapshot.ID]error, len(r.byID))
	for id, err := range r.byID {
		out[id] = err
	}
	return out
}
