package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
)

// paceRun calls a limiter from several goroutines for a time. Each call takes
// 10 ms, has a deadline in a second and a soft deadline in half a second.
type paceRun struct {
	limiter *Limiter
	mu      sync.Mutex
	starts  map[string][]time.Time
}

func (p *paceRun) call(rank *config.Rank) {
	now := time.Now()
	release, err := p.limiter.Acquire(context.Background(), &call.Call{Rank: rank, Deadline: now.Add(time.Second), SoftDeadline: now.Add(500 * time.Millisecond)})
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	p.mu.Lock()
	p.starts[rank.Name] = append(p.starts[rank.Name], time.Now())
	p.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	release()
}

// run makes calls of a rank from n goroutines until end.
func (p *paceRun) run(wg *sync.WaitGroup, rank *config.Rank, n int, end time.Time) {
	for range n {
		wg.Go(func() {
			for time.Now().Before(end) {
				p.call(rank)
			}
		})
	}
}

// Guards against starting more calls per second than the upstream takes, against
// starting far fewer, and against serving less urgent calls before urgent ones.
func TestLimiterKeepsNamedLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 7, 40} {
		synctest.Test(t, func(t *testing.T) {
			urgent, batch := &config.Rank{Name: "urgent", TargetMs: 500}, &config.Rank{Name: "batch", Order: 1, TargetMs: 500}
			limits := Limits{Slots: 8, Connections: 40, Ranks: []*config.Rank{urgent, batch}, CallsPerSecond: limit}
			p := &paceRun{limiter: NewLimiterWithClock(limits, time.Now), starts: map[string][]time.Time{}}
			const seconds = 20
			var wg sync.WaitGroup
			end := time.Now().Add(seconds * time.Second)
			p.run(&wg, urgent, 10, end)
			p.run(&wg, batch, 10, end)
			wg.Wait()
			got := len(p.starts["urgent"]) + len(p.starts["batch"])
			// Calls that wait at the end may start up to their deadline.
			if most := limit*(seconds+1) + max(1, paceBurstSeconds*limit) + 1; float64(got) > most {
				t.Errorf("%d calls started in %d s at a limit of %g a second, want at most %.0f", got, seconds, limit, most)
			}
			if least := 0.9 * limit * seconds; float64(got) < least {
				t.Errorf("%d calls started in %d s at a limit of %g a second, want at least %.0f", got, seconds, limit, least)
			}
			// At one call in 2 s none can wait, so the first to arrive starts.
			if limit >= 1 && len(p.starts["batch"]) > len(p.starts["urgent"])/4 {
				t.Errorf("limit %g: %d less urgent calls and %d urgent ones started while both waited", limit, len(p.starts["batch"]), len(p.starts["urgent"]))
			}
		})
	}
}

// Guards against calls that wait although the upstream names no limit any more.
func TestLimiterServesWaitingCallsWhenLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &config.Rank{Name: "r", TargetMs: 500}
		limits := Limits{Slots: 8, Connections: 40, Ranks: []*config.Rank{rank}, CallsPerSecond: 1}
		l := NewLimiterWithClock(limits, time.Now)
		var started sync.WaitGroup
		for range 6 {
			started.Go(func() {
				release, err := l.Acquire(t.Context(), &call.Call{Rank: rank, Deadline: time.Now().Add(time.Minute), SoftDeadline: time.Now().Add(time.Minute)})
				if err != nil {
					t.Error(err)
					return
				}
				release()
			})
		}
		synctest.Wait()
		limits.CallsPerSecond = 0
		began := time.Now()
		l.SetLimits(limits)
		started.Wait()
		if waited := time.Since(began); waited > 0 {
			t.Errorf("waiting calls started %s after the limit had ended, want at once", waited)
		}
	})
}
