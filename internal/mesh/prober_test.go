package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/internal/httpconn"
)

// Guards against a lost node that is probed by many goroutines at once, too
// often, or not found for more than a second after it is back.
func TestProberFindsANodeThatIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts, found atomic.Int64
		began := time.Now()
		p := newProber(func(context.Context, string) error {
			attempts.Add(1)
			if time.Since(began) < 5*time.Second {
				return &httpconn.DialError{}
			}
			return nil
		})
		for range 100 {
			p.start(t.Context(), "i", "a", func() bool { return true }, func() { found.Add(1) })
		}
		time.Sleep(5*time.Second + maxProbe)
		synctest.Wait()
		if found.Load() != 1 || attempts.Load() > 8 {
			t.Errorf("found %d times after %d attempts", found.Load(), attempts.Load())
		}
	})
}

// Guards against probing a node for ever whose upstream has left.
func TestProberGivesUpWhatIsNotWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wanted := atomic.Bool{}
		wanted.Store(true)
		var attempts, ended atomic.Int64
		p := newProber(func(context.Context, string) error {
			attempts.Add(1)
			return &httpconn.DialError{}
		})
		p.start(t.Context(), "i", "a", wanted.Load, func() { ended.Add(1) })
		time.Sleep(3 * time.Second)
		wanted.Store(false)
		before := attempts.Load()
		time.Sleep(10 * time.Second)
		if attempts.Load() > before {
			t.Errorf("%d attempts after the node was not wanted", attempts.Load()-before)
		}
		if ended.Load() != 1 {
			t.Errorf("the end was told %d times: an instance that returns under its id stays lost", ended.Load())
		}
	})
}

// Guards against an instance that stays lost because the node beside it is
// already probed for the instance before it: after a loss of power a new upstream
// is listed a moment before its node listens.
func TestProberTellsEachInstanceOfANode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var found atomic.Int64
		p := newProber(func(context.Context, string) error { return nil })
		for _, id := range []string{"before", "after"} {
			p.start(t.Context(), id, "a", func() bool { return true }, func() { found.Add(1) })
		}
		time.Sleep(maxProbe)
		if found.Load() != 2 {
			t.Errorf("%d of 2 instances found", found.Load())
		}
	})
}
