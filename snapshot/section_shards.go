package snapshot

import "github.com/filbertpier/filbertpier/config/manifest"

const sectionShardCount = 16

// sectionShards is a map from digests to section contents, sharded by digest.
type sectionShards struct {
	shards [sectionShardCount]sectionShard
}

func (s *sectionShards) init() {
	for i := range s.shards {
		s.shards[i].byDigest = map[manifest.Digest][]byte{}
	}
}

func (s *sectionShards) shard(d manifest.Digest) *sectionShard {
	return &s.shards[d[0]%sectionShardCount]
}

func (s *sectionShards) get(d manifest.Digest) ([]byte, bool) { return s.shard(d).get(d) }

func (s *sectionShards) put(d manifest.Digest, raw []byte) { s.shard(d).put(d, raw) }

// retain removes the sections that none of the snapshots uses.
func (s *sectionShards) retain(used []*Snapshot) {
	keep := map[manifest.Digest]bool{}
	for _, snap := range used {
		for d := range snap.sections {
			keep[d] = true
		}
	}
	for i := range s.shards {
		s.shards[i].retain(keep)
	}
}
