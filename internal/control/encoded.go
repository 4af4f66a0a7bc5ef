package control

import (
	"sync"

	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/snapshot"
)

// maxEncoded bounds the kept encodings of one version: the children of a node
// in a version's tree lack the same one or two versions.
const maxEncoded = 4

// encoded keeps the encodings of the version in force by the base that they
// refer to, since a node serves the same delta to each of its children.
type encoded struct {
	// mu guards id and byBase.
	mu     sync.Mutex
	id     snapshot.ID
	byBase map[snapshot.ID]message.PullResponse
}

// get returns a copy of a kept encoding; its slices are shared and read-only.
func (e *encoded) get(id, base snapshot.ID) (*message.PullResponse, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != id {
		return nil, false
	}
	r, ok := e.byBase[base]
	return &r, ok
}

func (e *encoded) put(id, base snapshot.ID, r message.PullResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id.Less(e.id) {
		return
	}
	if e.id != id || len(e.byBase) >= maxEncoded {
		e.id, e.byBase = id, map[snapshot.ID]message.PullResponse{}
	}
	e.byBase[base] = r
}
