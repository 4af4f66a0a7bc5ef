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
	// Agent is the control logic of the running process, or nil.
	Agent *control.Agent
	// AdoptedAt holds when the running process adopted each version number.
	AdoptedAt map[uint64]time.Time
	// HighestID is the greatest version that any process on the VM adopted
	// since it last lost its memory.
	HighestID snapshot.ID
	// EventCounts counts the logged decisions of the running process.
	EventCounts map[effect.Event]int

	// PlatformCalls counts the reads of the running process.
	PlatformCalls int

	pausedUntil time.Time
	held        []func()
}

// Running reports whether the node's process exists.
func (n *Node) Running() bool { return n.Agent != nil }

// do runs f as part of the given process, unless it has ended; a paused process
// runs it when it wakes.
func (n *Node) do(process *control.Agent, f func() []effect.Effect) {
	if n.Agent != process {
		return
	}
	if n.fleet.Clock.Now().Before(n.pausedUntil) {
		n.held = append(n.held, func() { n.do(process, f) })
		return
	}
	n.carryOut(f())
	if observe := n.fleet.AfterEvent; observe != nil {
		observe(n)
	}
}

// CatchUp makes the node fetch a version that a call requires.
func (n *Node) CatchUp(id snapshot.ID) {
	process := n.Agent
	n.do(process, func() []effect.Effect { return process.CatchUp(n.fleet.Clock.Now(), id) })
}

func (n *Node) wake() {
	held := n.held
	n.held = nil
	for _, f := range held {
		f()
	}
}

func (n *Node) carryOut(effects []effect.Effect) {
	process := n.Agent
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Send:
			n.fleet.Network.send(n, e)
		case effect.StartTimer:
			n.fleet.Clock.After(e.Delay, func() {
				n.do(process, func() []effect.Effect { return process.HandleTimer(n.fleet.Clock.Now(), e.Timer) })
			})
		case effect.ReadPlatform:
			n.readPlatform(process, e)
		case effect.Log:
			n.note(e)
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
	f.Clock.After(delay, func() {
		f.Platform.read(r, func(ans effect.PlatformResult) {
			f.Clock.After(delay, func() {
				n.do(process, func() []effect.Effect { return process.HandlePlatform(f.Clock.Now(), ans) })
			})
		})
	})
}

func (n *Node) note(e effect.Log) {
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
