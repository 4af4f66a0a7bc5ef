package virtual_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/testkit"
)

const (
	// pendingWatchTime is how long a watch that began before the return may go on.
	pendingWatchTime = 2 * time.Second
	// applyBound is the time within which a version has to be in force everywhere.
	applyBound = 4 * time.Second
)

// Guards against a version that no node reads because the platform, after its return from
// an older copy, gives it a lower revision than the nodes have read: a watch that ends
// without a newer revision says where the platform is, not what it holds there.
func TestVersionAfterReturnOfThePlatformIsAdopted(t *testing.T) {
	t.Parallel()
	for _, lost := range []uint64{2, 3, 10} {
		t.Run(fmt.Sprint(lost, " versions lost"), func(t *testing.T) {
			t.Parallel()
			checkVersionAfterReturn(t, lost)
		})
	}
}

// Guards against a version that no node reads because it has the revision of the one that
// the platform lost, so that watches which go on through the return see no change.
func TestVersionUnderARevisionGivenOutAgainIsAdopted(t *testing.T) {
	t.Parallel()
	checkVersionAfterReturn(t, 1)
}

// checkVersionAfterReturn checks that a version is in force in time which the platform
// publishes right after its return from a copy that lacks the given number of versions.
func checkVersionAfterReturn(t *testing.T, lost uint64) {
	t.Helper()
	f := startFleet(t, 3, 1)
	copied := f.Platform.Copy()
	for n := range lost {
		f.Publish(2+n, testkit.Sections(2, f.Options.Services...))
		f.Clock.Advance(applyBound)
	}
	f.Platform.Restore(copied)
	id := f.Publish(100, testkit.Sections(2, f.Options.Services...))
	f.Clock.Advance(pendingWatchTime + applyBound)
	requireVersion(t, f, id, "after the return")
}
