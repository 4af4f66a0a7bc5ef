package control_test

import (
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Guards against agent state that is not protected by a lock: the runtime calls
// the agent from several goroutines, the simulated fleet of package virtual
// from one only. Most such faults show only under the race detector.
func TestAgentIsSafeForConcurrentUse(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := control.New(control.Config{
		Self: testMember(0), Keys: testkit.NewPublisher().Keys(), Seed: 1,
		Invariants: telemetry.NewInvariants(telemetry.NewMetrics(), true),
	}, snapshot.NewStore())
	a.Start(now)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 100 {
				tickTime := now.Add(time.Duration(i) * 500 * time.Millisecond)
				m := testMember(1 + (g*100+i)%40)
				m.Incarnation = uint64(i)
				m.Status = member.Status(i % 3)
				a.HandleMessage(tickTime, &message.Heartbeat{From: m, ZoneAgesMs: map[string]int64{m.Zone: 5}})
				a.HandleMessage(tickTime, &message.MemberUpdates{VM: m.VM, Members: []member.Member{m}})
				a.HandleMessage(tickTime, &message.JoinRequest{From: m})
				a.HandleTimer(tickTime, effect.Timer{Kind: effect.TimerTick})
				a.HandleTimer(tickTime, effect.Timer{Kind: effect.TimerFlushUpdates})
				a.CatchUp(tickTime, snapshot.ID{Version: uint64(i + 1)})
				a.ZoneSuspect(tickTime, m.Zone)
			}
		})
	}
	wg.Wait()
	if got := len(a.Table().All()); got != 41 {
		t.Errorf("member table holds %d members, want 41", got)
	}
}
