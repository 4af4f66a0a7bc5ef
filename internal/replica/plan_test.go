package replica

import (
	"fmt"
	"testing"
)

// Guards against a region in which nobody reads the platform, in which nodes
// follow each other in a circle, or in which one node has to answer many.
func TestPlansFormATree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 18, 100, 2400} {
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		}
		parents, children, readers := map[string]string{}, map[string]int{}, 0
		for _, self := range nodes {
			p := NewPlan(self, nodes)
			if p.Parent == "" {
				readers++
				continue
			}
			parents[self] = p.Parent
			children[p.Parent]++
		}
		if readers != min(n, readersPerRegion) {
			t.Errorf("%d nodes: %d readers", n, readers)
		}
		for node, count := range children {
			if count > fanout {
				t.Errorf("%d nodes: %s answers %d", n, node, count)
			}
		}
		for _, self := range nodes {
			steps := 0
			for at := self; parents[at] != ""; at = parents[at] {
				if steps++; steps > 5 {
					t.Fatalf("%d nodes: %s has no reader within 5 steps", n, self)
				}
			}
		}
	}
}
