package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

const fleetSize = 7300

func testMember(i int) member.Member {
	return member.Member{
		VM: fmt.Sprintf("vm-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%12), Region: fmt.Sprintf("region-%d", i%12/4),
		Service: fmt.Sprintf("service-%03d", i%360), PeerAddr: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
		CallAddr: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), Boot: 1,
	}
}

// newLargeFleetAgent returns an agent that knows fleetSize members.
func newLargeFleetAgent(b *testing.B) (*control.Agent, time.Time) {
	b.Helper()
	now := time.Unix(1_800_000_000, 0)
	a := control.New(control.Config{Self: testMember(0), Keys: testkit.NewPublisher().Keys(), PlatformRegion: "region-0", Seed: 1}, snapshot.NewStore())
	a.Start(now)
	resp := &message.JoinResponse{From: testMember(1)}
	for i := 1; i < fleetSize; i++ {
		resp.Members = append(resp.Members, testMember(i))
	}
	a.HandleMessage(now, resp)
	now = now.Add(time.Second)
	a.HandleTimer(now, effect.Timer{Kind: effect.TimerTick})
	b.ReportAllocs()
	return a, now
}

func BenchmarkTick(b *testing.B) {
	a, now := newLargeFleetAgent(b)
	for b.Loop() {
		now = now.Add(time.Second)
		for i := range 3 {
			// Replies come from members of the zone, whether monitored or not.
			a.HandleMessage(now, &message.Heartbeat{From: testMember(12 * (i + 1)), Reply: true, PlatformAgeMs: 1})
		}
		a.HandleTimer(now, effect.Timer{Kind: effect.TimerTick})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	a, now := newLargeFleetAgent(b)
	m := &message.Heartbeat{From: testMember(12), PlatformAgeMs: 10, ZoneAgesMs: map[string]int64{}}
	for zone := range 12 {
		m.ZoneAgesMs[fmt.Sprintf("zone-%02d", zone)] = 100
	}
	for b.Loop() {
		a.HandleMessage(now, m)
	}
}

func BenchmarkMemberUpdate(b *testing.B) {
	a, now := newLargeFleetAgent(b)
	changed := testMember(500)
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		changed.Incarnation++
		a.HandleMessage(now, &message.MemberUpdates{VM: testMember(12).VM, Members: []member.Member{changed}})
		a.HandleTimer(now, effect.Timer{Kind: effect.TimerFlushUpdates})
	}
}

func BenchmarkJoinRequest(b *testing.B) {
	a, now := newLargeFleetAgent(b)
	for b.Loop() {
		a.HandleMessage(now, &message.JoinRequest{From: testMember(24)})
	}
}
