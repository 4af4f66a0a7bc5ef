package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// maxDepth is the depth of a leaf in a region of 2,400 nodes.
const maxDepth = 4

// startChain starts a node that reads the platform and a chain of descendants, and lets
// them follow a first change for some seconds. The last node is the deepest.
func startChain(t *testing.T, depth int) (*testPlatform, []*testNode) {
	platform := newTestPlatform()
	fleet := newTestFleet()
	platform.put("config", false)
	chain := []*testNode{fleet.add(t, platform, "0", "")}
	for i := 1; i <= depth; i++ {
		chain = append(chain, fleet.add(t, platform, fmt.Sprint(i), fmt.Sprint(i-1)))
	}
	time.Sleep(10500 * time.Millisecond)
	return platform, chain
}

// Guards against a node that trusts ancestors all of which are cut off from the
// platform: the fallbacks of the ancestors must not add up.
func TestChangeArrivesInTimeWhileAllAncestorsAreCut(t *testing.T) {
	for depth := 1; depth <= maxDepth; depth++ {
		for delay := time.Duration(0); delay <= 8*time.Second; delay += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("depth %d, %s", depth, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					platform, chain := startChain(t, depth)
					for _, n := range chain[:depth] {
						n.source.cut.Store(true)
					}
					time.Sleep(delay)
					platform.put("config", false)
					time.Sleep(configApplyBound)
					if got := chain[depth].table.Revision().Number; got != 2 {
						t.Errorf("the node is at revision %d %s after the change, want 2", got, configApplyBound)
					}
				})
			})
		}
	}
}

// Guards against nodes that trust a parent which reads the platform in place of its own
// parent and is then cut off too.
func TestChangeArrivesInTimeWhileParentIsCutInFallback(t *testing.T) {
	for fallback := time.Duration(0); fallback <= 10*time.Second; fallback += 500 * time.Millisecond {
		for _, delay := range []time.Duration{0, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s", fallback, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					platform, chain := startChain(t, 2)
					chain[0].source.cut.Store(true)
					time.Sleep(fallback)
					chain[1].source.cut.Store(true)
					time.Sleep(delay)
					platform.put("config", false)
					time.Sleep(configApplyBound)
					if got := chain[2].table.Revision().Number; got != 2 {
						t.Errorf("the node is at revision %d %s after the change, want 2", got, configApplyBound)
					}
				})
			})
		}
	}
}

// Guards against a fallback of a whole region to the platform when one of the nodes that
// read it is cut off: only its children have to read the platform.
func TestOnlyChildrenOfACutNodeReadThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTestPlatform()
		fleet := newTestFleet()
		platform.put("config", false)
		root := fleet.add(t, platform, "root", "")
		var descendants []*testNode
		for i := range fanout {
			child := fmt.Sprint("child ", i)
			fleet.add(t, platform, child, "root")
			for j := range fanout {
				descendants = append(descendants, fleet.add(t, platform, fmt.Sprint(child, " ", j), child))
			}
		}
		time.Sleep(10500 * time.Millisecond)
		var before int64
		for _, n := range descendants {
			before += n.source.reads.Load()
		}
		root.source.cut.Store(true)
		time.Sleep(20 * time.Second)
		for _, n := range descendants {
			before -= n.source.reads.Load()
		}
		if before != 0 {
			t.Errorf("the grandchildren of the cut node read the platform %d times, want 0", -before)
		}
	})
}

// Guards against nodes that read the platform for seconds after a single late response of
// their parent: on a busy day there are many such responses and many changes.
func TestOneLateResponseCostsOneReadOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newTestPlatform()
		fleet := newTestFleet()
		platform.put("config", false)
		fleet.add(t, platform, "root", "")
		child := fleet.add(t, platform, "child", "root")
		time.Sleep(10500 * time.Millisecond)
		before := child.source.reads.Load()
		fleet.delay.Store(int64(2 * time.Second))
		for range 10 {
			time.Sleep(500 * time.Millisecond)
			platform.put("config", false)
		}
		time.Sleep(configApplyBound)
		if n := child.source.reads.Load() - before; n != 1 {
			t.Errorf("the child read the platform %d times after one late response, want once", n)
		}
		if got := child.table.Revision().Number; got != 11 {
			t.Errorf("the child is at revision %d, want 11", got)
		}
	})
}
