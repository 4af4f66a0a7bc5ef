package control

import (
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/snapshot"
)

// joinState tells whether the node may serve calls: it must have asked enough
// peers for their version and hold the greatest that it heard.
type joinState struct {
	// mu guards all fields.
	mu       sync.Mutex
	ready    bool
	deadline time.Time
	heard    map[string]snapshot.ID
	// established counts the peers heard that serve calls themselves.
	established map[string]bool
}

func (j *joinState) restart(deadline time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ready = false
	j.deadline = deadline
	j.heard = map[string]snapshot.ID{}
	j.established = map[string]bool{}
}

func (j *joinState) isReady() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ready
}

func (j *joinState) hear(vm string, id snapshot.ID, serves bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready {
		return
	}
	j.heard[vm] = id
	if serves {
		j.established[vm] = true
	}
}

// complete marks the node ready if it may be, and reports whether this call
// did. known is the number of other live members.
func (j *joinState) complete(now time.Time, current snapshot.ID, known int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready || current.IsZero() {
		return false
	}
	for _, id := range j.heard {
		if current.Less(id) {
			return false
		}
	}
	enough := len(j.heard) >= min(joinPeers, known) && len(j.established) > 0
	if !enough && now.Before(j.deadline) {
		return false
	}
	j.ready = true
	return true
}
