package probe

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/internal/httpconn"
)

// Guards against probing a lost node from many goroutines at once or too often,
// and against reporting its recovery more than a second late.
func TestProberReportsRecoveredNodeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts, recovered atomic.Int64
		start := time.Now()
		p := NewProber(func(context.Context, string) error {
			attempts.Add(1)
			if time.Since(start) < 5*time.Second {
				return &httpconn.DialError{}
			}
			return nil
		})
		for range 100 {
			p.Start(t.Context(), "i", "a", func() bool { return true }, func() { recovered.Add(1) })
		}
		time.Sleep(5*time.Second + maxProbeBackoff)
		synctest.Wait()
		if recovered.Load() != 1 || attempts.Load() > 8 {
			t.Errorf("recovery reported %d times after %d attempts, want once after at most 8", recovered.Load(), attempts.Load())
		}
	})
}

// Guards against probing a node forever after its instance was removed from the
// directory.
func TestProberStopsForDelistedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		needed := atomic.Bool{}
		needed.Store(true)
		var attempts, finished atomic.Int64
		p := NewProber(func(context.Context, string) error {
			attempts.Add(1)
			return &httpconn.DialError{}
		})
		p.Start(t.Context(), "i", "a", needed.Load, func() { finished.Add(1) })
		time.Sleep(3 * time.Second)
		needed.Store(false)
		before := attempts.Load()
		time.Sleep(10 * time.Second)
		if attempts.Load() > before {
			t.Errorf("%d attempts after the probe was no longer needed", attempts.Load()-before)
		}
		if finished.Load() != 1 {
			t.Errorf("done was called %d times, want once: an instance that returns with the same id would stay lost", finished.Load())
		}
	})
}

// Guards against an instance that stays lost because its node is already being
// probed for the previous instance: after a power loss, a new upstream is
// listed shortly before its node listens.
func TestProberReportsEachInstanceOfANode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recovered atomic.Int64
		p := NewProber(func(context.Context, string) error { return nil })
		for _, id := range []string{"before", "after"} {
			p.Start(t.Context(), id, "a", func() bool { return true }, func() { recovered.Add(1) })
		}
		time.Sleep(maxProbeBackoff)
		if recovered.Load() != 2 {
			t.Errorf("recovery reported for %d of 2 instances", recovered.Load())
		}
	})
}
