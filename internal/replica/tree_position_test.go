package replica

import (
	"fmt"
	"testing"
)

// Guards against a region in which no node reads the platform, in which parent
// links form a cycle, or in which a node has more children than fanout.
func TestParentsFormATree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 18, 100, 2400} {
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		}
		parents, children, readers := map[string]string{}, map[string]int{}, 0
		for _, self := range nodes {
			p := NewTreePosition(self, nodes)
			if p.Parent == "" {
				readers++
				continue
			}
			parents[self] = p.Parent
			children[p.Parent]++
		}
		if readers != min(n, readersPerRegion) {
			t.Errorf("%d nodes: %d of them read the platform, want %d", n, readers, min(n, readersPerRegion))
		}
		for node, count := range children {
			if count > fanout {
				t.Errorf("%d nodes: %s has %d children, want at most %d", n, node, count, fanout)
			}
		}
		for _, self := range nodes {
			steps := 0
			for node := self; parents[node] != ""; node = parents[node] {
				if steps++; steps > 5 {
					t.Fatalf("%d nodes: %s reaches no platform reader within 5 levels", n, self)
				}
			}
		}
	}
}
