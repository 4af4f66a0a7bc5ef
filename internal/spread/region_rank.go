package spread

import "github.com/filbertpier/filbertpier/internal/member"

// RegionRank returns the position of self in the rendezvous order of its region
// for a seed, or -1 if the view does not contain self. The view caches the
// result.
func RegionRank(view *member.View, self member.Member, seed uint64) int {
	return view.Rank(member.RankKey{VM: self.VM, Seed: seed}, func() int {
		return RendezvousRank(view.Region(self.Region), self.VM, seed)
	})
}
