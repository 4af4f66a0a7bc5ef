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
	// AdoptedAt holds the time at which the running process first adopted each
	// version number.
	AdoptedAt map[uint64]time.Time
	// HighestID is the greatest version that the process has adopted since its
	// last start.
	HighestID snapshot.ID
	// EventCounts counts the decisions that the running process logged, by event.
	EventCounts map[effect.Event]int

	// PlatformCalls counts the platform reads of the running process.
	PlatformCalls int

	pausedUntil time.Time
	// deferred holds the events that arrived while the process was paused.
	deferred []func()
}

// Running reports whether the node's process runs, also while it is paused.
func (n *Node) Running() bool { return n.Agent != nil }

// run calls f as part of the given process and applies the returned effects. It
// does nothing if that process has ended; if it is paused, f runs when it resumes.
func (n *Node) run(process *control.Agent, f func() []effect.Effect) {
	if n.Agent != process {
		return
	}
	if n.fleet.Clock.Now().Before(n.pausedUntil) {
		n.deferred = append(n.deferred, func() { n.run(process, f) })
		return
	}
	n.applyEffects(f())
	if afterEvent := n.fleet.AfterEvent; afterEvent != nil {
		afterEvent(n)
	}
}

// CatchUp makes the node fetch a version as if a call required it.
func (n *Node) CatchUp(id snapshot.ID) {
	process := n.Agent
	n.run(process, func() []effect.Effect { return process.CatchUp(n.fleet.Clock.Now(), id) })
}

func (n *Node) resume() {
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (n *Node) applyEffects(effects []effect.Effect) {
	process := n.Agent
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Send:
			n.fleet.Network.send(n, e)
		case effect.StartTimer:
			n.fleet.Clock.AfterFunc(e.Delay, func() {
				n.run(process, func() []effect.Effect { return process.HandleTimer(n.fleet.Clock.Now(), e.Timer) })
			})
		case effect.ReadPlatform:
			n.readPlatform(process, e)
		case effect.Log:
			n.recordEvent(e)
		}
	}
}

func (n *Node) readPlatform(process *control.Agent, r effect.ReadPlatform) {
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
		f.Platform.read(r, func(ans effect.PlatformResult) {
			f.Clock.AfterFunc(delay, func() {
				n.run(process, func() []effect.Effect { return process.HandlePlatform(f.Clock.Now(), ans) })
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
