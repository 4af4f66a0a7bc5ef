package control

import (
	"github.com/filbertpier/filbertpier/snapshot"
)

const transferShardCount = 8

// transfers holds the versions being fetched, in shards by digest.
type transfers struct {
	shards [transferShardCount]transferShard
}

func newTransfers() *transfers {
	t := &transfers{}
	for i := range t.shards {
		t.shards[i].byID = map[snapshot.ID]*transfer{}
	}
	return t
}

func (t *transfers) shard(id snapshot.ID) *transferShard {
	return &t.shards[id.Digest[0]%transferShardCount]
}

// withOrCreate calls f with the transfer of a version, which it creates if
// there is none; isNew tells which. f runs under the shard's lock and must not
// block.
func (t *transfers) withOrCreate(id snapshot.ID, f func(tr *transfer, isNew bool)) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	tr, ok := s.byID[id]
	if !ok {
		tr = &transfer{id: id}
		s.byID[id] = tr
	}
	f(tr, !ok)
}

// withExisting calls f with the transfer of a version and reports whether there
// is one. f runs under the shard's lock and must not block.
func (t *transfers) withExisting(id snapshot.ID, f func(tr *transfer)) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	tr, ok := s.byID[id]
	if ok {
		f(tr)
	}
	return ok
}

// countWithoutSource counts the transfers with neither a source nor a manifest
// from the platform: only calls require their versions.
func (t *transfers) countWithoutSource() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, tr := range s.byID {
			if len(tr.sources) == 0 && tr.envelope == nil {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

func (t *transfers) drop(id snapshot.ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// dropUpTo removes the transfers of all versions that are not newer than id.
func (t *transfers) dropUpTo(id snapshot.ID) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for other := range s.byID {
			if !id.Less(other) {
				delete(s.byID, other)
			}
		}
		s.mu.Unlock()
	}
}
