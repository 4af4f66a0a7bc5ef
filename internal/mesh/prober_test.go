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
func TestProberReportsRecoveredNodeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts, recovered atomic.Int64
		start := time.Now()
		p := newProber(func(context.Context, string) error {
			attempts.Add(1)
			if time.Since(start) < 5*time.Second {
				return &httpconn.DialError{}
			}
			return nil
		})
		for range 100 {
			p.start(t.Context(), "i", "a", func() bool { return true }, func() { recovered.Add(1) })
		}
		time.Sleep(5*time.Second + maxProbePause)
		synctest.Wait()
		if recovered.Load() != 1 || attempts.Load() > 8 {
			t.Errorf("found %d times after %d attempts", recovered.Load(), attempts.Load())
		}
	})
}

// Guards against probing a node for ever whose upstream has left.
func TestProberStopsForDelistedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wanted := atomic.Bool{}
		wanted.Store(true)
		var attempts, finished atomic.Int64
		p := newProber(func(context.Context, string) error {
			attempts.Add(1)
			return &httpconn.DialError{}
		})
		p.start(t.Context(), "i", "a", wanted.Load, func() { finished.Add(1) })
		time.Sleep(3 * time.Second)
		wanted.Store(false)
		before := attempts.Load()
		time.Sleep(10 * time.Second)
		if attempts.Load() > before {
			t.Errorf("%d attempts after the node was not wanted", attempts.Load()-before)
		}
		if finished.Load() != 1 {
			t.Errorf("the end was told %d times: an instance that returns under its id stays lost", finished.Load())
		}
	})
}

// Guards against an instance that stays lost because the node beside it is
// already probed for the instance before it: after a loss of power a new upstream
// is listed a moment before its node listens.
func TestProberReportsEachInstanceOfANode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recovered atomic.Int64
		p := newProber(func(context.Context, string) error { return nil })
		for _, id := range []string{"before", "after"} {
			p.start(t.Context(), id, "a", func() bool { return true }, func() { recovered.Add(1) })
		}
		time.Sleep(maxProbePause)
		if recovered.Load() != 2 {
			t.Errorf("%d of 2 instances found", recovered.Load())
		}
	})
}
