package replica

import (
	"testing"
	"testing/synctest"
	"time"
)

// configApplyBound is config_apply_ms, the time within which the platform
// requires a change to be in force.
const configApplyBound = 2500 * time.Millisecond

// startPair starts a node that reads the platform and its child, and lets them
// follow a first change for some seconds.
func startPair(t *testing.T) (platform *testPlatform, root, child *testNode) {
	platform = newTestPlatform()
	fleet := newTestFleet()
	platform.put("config", false)
	root = fleet.add(t, platform, "root", "")
	child = fleet.add(t, platform, "child", "root")
	time.Sleep(10500 * time.Millisecond)
	return platform, root, child
}

// Guards against nodes that trust a parent whose watch of the platform hangs.
func TestChangeArrivesInTimeWhileParentIsCutFromPlatform(t *testing.T) {
	for delay := time.Duration(0); delay <= 6*time.Second; delay += 250 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform, root, child := startPair(t)
				root.source.cut.Store(true)
				time.Sleep(delay)
				platform.put("config", false)
				time.Sleep(configApplyBound)
				if got := child.table.Revision().Number; got != 2 {
					t.Errorf("the child is at revision %d %s after the change, want 2", got, configApplyBound)
				}
			})
		})
	}
}

// Guards against nodes that trust a parent whose list of all items hangs.
func TestChangeArrivesInTimeWhileParentListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, root, child := startPair(t)
		root.source.compacted.Store(true)
		root.source.cut.Store(true)
		platform.put("servers/first", false)
		time.Sleep(time.Millisecond)
		platform.put("config", false)
		time.Sleep(configApplyBound)
		if got := child.table.Revision().Number; got != 3 {
			t.Errorf("the child is at revision %d %s after the change, want 3", got, configApplyBound)
		}
	})
}

// Guards against a node that loses its copy, or never sees a change again, because the
// changes since its revision are longer than a response that it keeps.
func TestOversizedWatchIsReplacedByAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, root, child := startPair(t)
		root.source.oversized.Store(true)
		time.Sleep(configApplyBound)
		if got := root.table.Revision().Number; got != 1 {
			t.Errorf("the node is at revision %d while no response can be kept, want 1", got)
		}
		for revision := uint64(2); revision <= 4; revision++ {
			platform.put("config", false)
			time.Sleep(configApplyBound)
			for _, n := range []*testNode{root, child} {
				if got := n.table.Revision().Number; got != revision {
					t.Errorf("a node is at revision %d %s after the change, want %d", got, configApplyBound, revision)
				}
			}
		}
	})
}
