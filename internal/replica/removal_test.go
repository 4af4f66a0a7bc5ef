package replica

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against losing a removal because a node that listed later knows nothing of it.
func TestRemovalIsNotSkippedThroughNodeThatListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, fleet := newTestPlatform(), newTestFleet()
		platform.put("servers/leaving", false)
		old := fleet.add(t, platform, "old", "")
		time.Sleep(time.Second)
		// The reader pauses after this change to gather further ones.
		platform.put("servers/first", false)
		time.Sleep(batchDelay / 4)
		platform.put("servers/leaving", true)
		platform.put("servers/second", false)
		started := fleet.add(t, platform, "started", "")
		time.Sleep(batchDelay / 4)
		old.reader.ObservePeerRevision("started", started.table.Revision())
		time.Sleep(10 * time.Second)
		if got := old.table.Revision().Number; got != 4 || !old.knowsDeleted("servers/leaving") {
			t.Errorf("at revision %d, removal known: %t, want revision 4 and the removal", got, old.knowsDeleted("servers/leaving"))
		}
	})
}
