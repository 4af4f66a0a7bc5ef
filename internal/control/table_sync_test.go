package control_test

import (
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Guards against a node that becomes ready at its join timeout, before a peer has
// sent its whole member table, and then leaves members that it knows only from the
// platform's list without their boot until a random comparison up to 15 s later.
// First seen in TestKeyedCallsRunOnce.
func TestNodeReadyByTimeoutCompletesItsMemberTable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	doc, err := config.CompileBody(config.SectionBody{Section: "main", Owner: "ops", Ranks: []config.Rank{{Name: "r", TargetMs: 1000, Worth: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	store := snapshot.NewStore()
	if err := store.Apply(snapshot.NewUnsigned(1, nil, doc)); err != nil {
		t.Fatal(err)
	}
	a := control.New(control.Config{
		Self: testMember(0), Keys: testkit.NewPublisher().Keys(), Seed: 1,
		JoinTimeout: 500 * time.Millisecond, HeartbeatInterval: time.Second,
	}, store)
	a.Start(now)
	// The seed is in another zone and answers with the members of its zone only.
	seed := testMember(1)
	a.HandleMessage(now, &message.JoinResponse{From: seed})
	now = now.Add(600 * time.Millisecond)
	a.HandleTimer(now, effect.Timer{Kind: effect.TimerJoin})
	if !a.Ready(now) {
		t.Fatal("the node is not ready after its join timeout")
	}
	requested := 0
	for range 4 {
		now = now.Add(time.Second)
		requested += countDigests(a.HandleTimer(now, effect.Timer{Kind: effect.TimerTick}))
	}
	if requested == 0 {
		t.Error("the node does not ask a peer for its member table within 4 heartbeat intervals")
	}
	a.HandleMessage(now, &message.TableDigests{VM: seed.VM, Digests: make([]uint64, 64), Reply: true})
	for range 4 {
		now = now.Add(time.Second)
		if n := countDigests(a.HandleTimer(now, effect.Timer{Kind: effect.TimerTick})); n > 0 {
			t.Errorf("%d requests after a peer has compared its table, want none", n)
		}
	}
}

// Guards against a restarted node that serves calls while it knows the members of
// its seed's zone only, until its next comparison of the member table: it reported
// the owner of an idempotency key as unavailable. First seen in
// TestRollingRestartLosesNoCall.
func TestJoiningNodeAsksForTheMembersThatItsSeedLeftOut(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := control.New(control.Config{
		Self: testMember(0), Keys: testkit.NewPublisher().Keys(), Seed: 1,
		JoinTimeout: 500 * time.Millisecond, HeartbeatInterval: time.Second,
	}, snapshot.NewStore())
	a.Start(now)
	if n := countDigests(a.HandleMessage(now, &message.JoinResponse{From: testMember(1)})); n != 1 {
		t.Errorf("%d requests after the answer of a seed of another zone, want 1", n)
	}
	if n := countDigests(a.HandleMessage(now, &message.JoinResponse{From: testMember(2)})); n != 0 {
		t.Errorf("%d requests after the answer of a second seed, want none", n)
	}
}

// countDigests returns the number of requests to compare member tables.
func countDigests(effects []effect.Effect) int {
	n := 0
	for _, e := range effects {
		if send, ok := e.(effect.Send); ok {
			if _, ok := send.Message.(*message.TableDigests); ok {
				n++
			}
		}
	}
	return n
}
