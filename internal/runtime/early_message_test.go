package runtime

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/snapshot"
)

// discardSender drops all messages.
type discardSender struct{}

func (discardSender) Send(effect.Send) {}

// Guards against handling a message that arrives between the opening of the node's port
// and Start: its responses have no sender yet.
func TestMessageBeforeStartIsDropped(t *testing.T) {
	metrics := telemetry.NewMetrics()
	self := member.Member{VM: "a", Zone: "z", Region: "r", Service: "s", PeerAddr: "127.0.0.1:1", Boot: 1, ChangedAt: 1}
	agent := control.New(control.Config{Self: self, Invariants: telemetry.NewInvariants(metrics, false), Seed: 1}, snapshot.NewStore())
	r := New(agent, nil, hclog.NewNullLogger(), metrics)
	defer r.Stop()
	r.Receive(&message.JoinRequest{From: member.Member{VM: "b", Zone: "z", Region: "r", Service: "s", PeerAddr: "127.0.0.1:2", Boot: 1, ChangedAt: 1}})
	for r.workerPool.CompletedTasks() < r.workerPool.SubmittedTasks() {
		time.Sleep(time.Millisecond)
	}
	r.Start(discardSender{})
	if n := r.workerPool.FailedTasks(); n != 0 {
		t.Errorf("%d messages failed, want none", n)
	}
}
