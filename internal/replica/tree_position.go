package replica

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerRegion is how many nodes of a region read the platform. The
	// second one covers a failure of the first.
	readersPerRegion = 2
	// fanout is the maximum number of child nodes of a node. With 8, a region
	// of 2,400 nodes has four levels below the nodes that read the platform.
	fanout = 8
)

// TreePosition is a node's place in the distribution tree of its region.
type TreePosition struct {
	// Parent is the address of the node to read changes from; empty if the node
	// reads the platform.
	Parent string
}

// NewTreePosition returns the position of self among the nodes of its region.
// The nodes are ordered by a hash of their addresses, which needs no
// coordination: the first ones read the platform, the others form a tree below
// them. Nodes with different lists compute different trees. That only adds
// levels: a parent precedes its children in the order, so there are no cycles,
// and a node whose parent has no fresh data reads the platform.
func NewTreePosition(self string, region []string) TreePosition {
	nodes := slices.Clone(region)
	slices.SortFunc(nodes, func(a, b string) int {
		if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	nodes = slices.Compact(nodes)
	position := slices.Index(nodes, self)
	if position < readersPerRegion {
		return TreePosition{}
	}
	return TreePosition{Parent: nodes[(position-readersPerRegion)/fanout]}
}
