package spread

import (
	"math/rand/v2"

	"github.com/filbertpier/filbertpier/internal/member"
)

const (
	// Fanout is the number of children of a node in its zone's dissemination
	// tree; a zone of 608 nodes, one of twelve at 7,300, is reached in five hops
	// from the first root.
	Fanout = 4
	// TreeRoots is the number of nodes that receive an item first in each zone
	// and region. There are two, so that one dead root does not delay the item
	// by a heartbeat interval.
	TreeRoots = 2
	// randomTargets is the number of random draws of further targets in the
	// zone, so that a dead inner node of the tree does not cut off its subtree
	// until the next heartbeat.
	randomTargets = 2
)

// Targets returns the members to which self sends an item with the given seed,
// without self and without duplicates. The seed selects the dissemination
// trees.
func Targets(view *member.View, self member.Member, seed uint64, origin Origin, rng *rand.Rand) []member.Member {
	c := targetCollector{self: self.VM, added: map[string]bool{self.VM: true}}
	zone := RendezvousOrder(view.Zone(self.Zone), seed)
	if origin != FromSameZone {
		c.add(firstN(zone, TreeRoots)...)
	}
	if origin == NewItem || origin == FromOtherRegion {
		for _, z := range view.Zones(self.Region) {
			if z != self.Zone {
				c.add(firstN(RendezvousOrder(view.Zone(z), seed), TreeRoots)...)
			}
		}
	}
	if origin == NewItem {
		for _, r := range view.Regions() {
			if r != self.Region {
				c.add(firstN(RendezvousOrder(view.Region(r), seed), TreeRoots)...)
			}
		}
	}
	c.add(children(zone, self.VM)...)
	for range randomTargets {
		if len(zone) > 0 {
			c.add(zone[rng.IntN(len(zone))])
		}
	}
	return c.targets
}

// GatewayRank returns the rank of self among the gateways of its region for a
// seed, the nodes that receive an item first from other regions. The second
// result is false if self is not one of them.
func GatewayRank(view *member.View, self member.Member, seed uint64) (int, bool) {
	rank := RegionRank(view, self, seed)
	return rank, rank >= 0 && rank < TreeRoots
}

func children(order []member.Member, vm string) []member.Member {
	for i := range order {
		if order[i].VM != vm {
			continue
		}
		from := min(Fanout*i+1, len(order))
		return order[from:min(from+Fanout, len(order))]
	}
	return nil
}

func firstN(order []member.Member, n int) []member.Member { return order[:min(n, len(order))] }
