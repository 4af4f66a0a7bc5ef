package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// Guards against running more calls than the upstream has slots while many
// callers compete and the number of slots changes.
func TestLimiterNeverExceedsSlots(t *testing.T) {
	l := NewLimiter(0)
	l.SetLimits(Limits{Slots: 6, Connections: 110, Ranks: ranks})
	var running, served, exceeded atomic.Int64
	var callers sync.WaitGroup
	for i := range 100 {
		callers.Go(func() {
			for range 50 {
				c := &call.Call{Rank: ranks[i%3], Deadline: time.Now().Add(20 * time.Second)}
				release, err := l.Acquire(t.Context(), c)
				if err != nil {
					continue
				}
				if n := running.Add(1); n > 6 {
					exceeded.Store(n)
				}
				l.SetSlots(5 + i%2)
				served.Add(1)
				running.Add(-1)
				release()
				release()
			}
		})
	}
	callers.Wait()
	if r := l.Report(); exceeded.Load() != 0 || served.Load() == 0 || r.Running != 0 || r.Waiting != 0 {
		t.Fatalf("more than 6 calls ran at once: %d, want 0 for never; %d served, want some; report after all ended: %+v", exceeded.Load(), served.Load(), r)
	}
}

// Guards against a canceled call that stays in the queue or takes a slot.
func TestLimiterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(1)
		c := &call.Call{Rank: &config.Rank{Name: "a"}}
		release, err := l.Acquire(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			_, err := l.Acquire(ctx, c)
			result <- err
		}()
		synctest.Wait()
		cancel()
		var canceled *CanceledError
		if err := <-result; !errors.As(err, &canceled) || !errors.Is(err, context.Canceled) {
			t.Fatalf("got %v, want a *CanceledError that wraps context.Canceled", err)
		}
		release()
		if running, waiting := l.Load(); running != 0 || waiting != 0 {
			t.Fatalf("%d calls running and %d waiting after all calls ended", running, waiting)
		}
	})
}

// Guards against a call that waits past its deadline, and against a drain that
// refuses calls that already wait.
func TestLimiterDeadlineAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(1)
		rank := &config.Rank{Name: "a"}
		release, _ := l.Acquire(t.Context(), &call.Call{Rank: rank})
		start := time.Now()
		_, err := l.Acquire(t.Context(), &call.Call{Rank: rank, Deadline: start.Add(time.Second)})
		var late *LateError
		if !errors.As(err, &late) || time.Since(start) != time.Second {
			t.Fatalf("got %v after %s, want a *LateError after 1 s", err, time.Since(start))
		}
		waited := make(chan error)
		go func() {
			release, err := l.Acquire(t.Context(), &call.Call{Rank: rank})
			if err == nil {
				release()
			}
			waited <- err
		}()
		synctest.Wait()
		l.Drain()
		var draining *DrainingError
		if _, err := l.Acquire(t.Context(), &call.Call{Rank: rank}); !errors.As(err, &draining) {
			t.Fatalf("got %v while draining, want a *DrainingError", err)
		}
		release()
		if err := <-waited; err != nil {
			t.Fatalf("a waiting call was dropped: %v", err)
		}
	})
}

// Guards against extra allocations in Acquire: without contention only the
// ticket and the release function are allocated.
func TestLimiterAllocations(t *testing.T) {
	l := NewLimiterWithClock(Limits{Slots: 6, Connections: 110, Ranks: ranks}, time.Now)
	c := &call.Call{Rank: urgent}
	if n := testing.AllocsPerRun(1000, func() { acquireOnce(t, l, c) }); n > 2 {
		t.Fatalf("%g allocations per Acquire, want at most 2", n)
	}
}

func acquireOnce(t testing.TB, l *Limiter, c *call.Call) {
	release, err := l.Acquire(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	release()
}

// BenchmarkAcquireFree measures Acquire and release while a slot is free.
func BenchmarkAcquireFree(b *testing.B) {
	l := NewLimiterWithClock(Limits{Slots: 6, Connections: 110, Ranks: ranks}, time.Now)
	c := &call.Call{Rank: urgent}
	b.ReportAllocs()
	for b.Loop() {
		acquireOnce(b, l, c)
	}
}

// BenchmarkGateQueued measures Submit and Release with 90 waiting calls.
func BenchmarkGateQueued(b *testing.B) {
	h := newGateHarness(Limits{Slots: 6, Connections: 110, Ranks: ranks})
	for range 96 {
		_, _ = h.submit(least, 1000*time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = h.submit(urgent, time.Hour)
		h.finish()
	}
}

// leftCaller is a caller that has closed its connection.
type leftCaller struct{}

func (leftCaller) Closed() bool { return true }

// Guards against a slot for a call whose caller has left although its context has not
// ended, against keeping that slot, and against taking such calls for fast runs.
func TestCallWhoseCallerLeftGetsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiterWithClock(Limits{Slots: 1, Ranks: []*config.Rank{urgent}}, time.Now)
		release, err := l.Acquire(t.Context(), &call.Call{Rank: urgent})
		if err != nil {
			t.Fatal(err)
		}
		results := make(chan error)
		for range 3 {
			go func() {
				_, err := l.Acquire(t.Context(), &call.Call{Rank: urgent, Caller: leftCaller{}})
				results <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		release()
		for range 3 {
			var canceled *CanceledError
			if err := <-results; !errors.As(err, &canceled) || !canceled.Granted {
				t.Errorf("got %v, want a *CanceledError of a granted call", err)
			}
		}
		if r := l.Report(); r.Running != 0 || r.Waiting != 0 {
			t.Errorf("load %+v, want no running or waiting call", r)
		}
		if got := l.ServiceTime(urgent); got != 100*time.Millisecond {
			t.Errorf("service time %s, want that of the call that ran, 100ms", got)
		}
	})
}
