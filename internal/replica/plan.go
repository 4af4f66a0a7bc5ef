package replica

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerRegion is how many nodes of a region read the platform: one
	// and another one in case it fails.
	readersPerRegion = 2
	// fanout is how many nodes follow one node. With 8 a region of 2,400 nodes
	// is four steps deep.
	fanout = 8
)

// Plan tells a node from whom it learns of changes.
type Plan struct {
	// Parent is the node to follow; empty if the node reads the platform.
	Parent string
}

// NewPlan orders the nodes of a region by a hash of their names, which needs no
// coordination: the first ones read the platform, the later ones follow them in
// a tree. Nodes with different lists may follow nodes
// that follow others; that only adds steps, because a node without a fresh
// parent reads the platform.
func NewPlan(self string, region []string) Plan {
	nodes := slices.Clone(region)
	slices.SortFunc(nodes, func(a, b string) int {
		if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	nodes = slices.Compact(nodes)
	at := slices.Index(nodes, self)
	if at < readersPerRegion {
		return Plan{}
	}
	return Plan{Parent: nodes[(at-readersPerRegion)/fanout]}
}
