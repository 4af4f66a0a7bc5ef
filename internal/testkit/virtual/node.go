package virtual

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Node is one node of a virtual fleet.
type Node struct {
	fleet *Fleet
	// Record is the node's member record at its last start.
	Record member.Member
	// Agent is the control logic of the running process; nil if none runs.
	Agent *control.Agent
	// AdoptedAt holds the time at which each version number was first adopted
	// since the last start.
	AdoptedAt map[uint64]time.Time
	// HighestID is the greatest version that was adopted since the last start.
	HighestID snapshot.ID
	// EventCounts counts the decisions logged since the last start, by event.
	EventCounts map[effect.Event]int

	// PlatformCalls counts the platform reads since the last start, without those
	// made while Fleet.PlatformUnreachable returned true for the node.
	PlatformCalls int

	pausedUntil time.Time
	// deferred holds the events that arrived while the process was paused.
	deferred []func()
}

// Running reports whether the node's process runs, also while it is paused.
func (n *Node) Running() bool { return n.Agent != nil }

// run calls f and applies the returned effects. It does nothing if the process
// that agent belongs to has ended; if it is paused, f runs when it resumes.
func (n *Node) run(agent *control.Agent, f func() []effect.Effect) {
	if n.Agent != agent {
		return
	}
	if n.fleet.Clock.Now().Before(n.pausedUntil) {
		n.deferred = append(n.deferred, func() { n.run(agent, f) })
		return
	}
	n.applyEffects(f())
	if afterEvent := n.fleet.AfterEvent; afterEvent != nil {
		afterEvent(n)
	}
}

// CatchUp makes the node fetch a version as if a call required it. The node must
// be running.
func (n *Node) CatchUp(id snapshot.ID) {
	agent := n.Agent
	n.run(agent, func() []effect.Effect { return agent.CatchUp(n.fleet.Clock.Now(), id) })
}

func (n *Node) resume() {
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (n *Node) applyEffects(effects []effect.Effect) {
	agent := n.Agent
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Send:
			n.fleet.Network.send(n, e)
		case effect.StartTimer:
			n.fleet.Clock.AfterFunc(e.Delay, func() {
				n.run(agent, func() []effect.Effect { return agent.HandleTimer(n.fleet.Clock.Now(), e.Timer) })
			})
		case effect.ReadPlatform:
			n.readPlatform(agent, e)
		case effect.Log:
			n.recordEvent(e)
		}
	}
}

func (n *Node) readPlatform(agent *control.Agent, r effect.ReadPlatform) {
	f := n.fleet
	delay := f.Options.PlatformDelay
	if n.Record.Region != f.PlatformRegion() {
		delay += f.Options.InterRegionDelay
	}
	if f.PlatformUnreachable != nil && f.PlatformUnreachable(n) {
		return
	}
	n.PlatformCalls++
	f.Clock.AfterFunc(delay, func() {
		f.Platform.read(r, func(result effect.PlatformResult) {
			f.Clock.AfterFunc(delay, func() {
				n.run(agent, func() []effect.Effect { return agent.HandlePlatform(f.Clock.Now(), result) })
			})
		})
	})
}

func (n *Node) recordEvent(e effect.Log) {
	n.EventCounts[e.Event]++
	if e.Event != effect.EventVersionAdopted {
		return
	}
	id := n.Agent.Store().CurrentID()
	if _, ok := n.AdoptedAt[id.Version]; !ok {
		n.AdoptedAt[id.Version] = n.fleet.Clock.Now()
	}
	if n.HighestID.Less(id) {
		n.HighestID = id
	}
}
