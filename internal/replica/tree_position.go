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
	// Depth is the number of nodes between this one and the platform; zero without
	// a parent.
	Depth int
	// HasChildren is set if other nodes read from this one.
	HasChildren bool
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
		return TreePosition{HasChildren: hasChildren(position, len(nodes))}
	}
	return TreePosition{
		Parent: nodes[parentIndex(position)], Depth: depth(position), HasChildren: hasChildren(position, len(nodes)),
	}
}

// parentIndex returns the index of the parent of the node at an index that is not
// below readersPerRegion.
func parentIndex(index int) int { return (index - readersPerRegion) / fanout }

// hasChildren reports whether a tree of n nodes has children at an index.
func hasChildren(index, n int) bool { return readersPerRegion+index*fanout < n }

// depth returns the depth of the node at an index.
func depth(index int) int {
	levels := 0
	for index >= readersPerRegion {
		index = parentIndex(index)
		levels++
	}
	return levels
}
