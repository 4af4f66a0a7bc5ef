package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/spread"
)

// broadcastMember applies a record that this node created and queues it for all
// regions.
func (a *Agent) broadcastMember(now time.Time, m member.Member, out *effects) {
	if a.applyMember(now, m, out) {
		a.queueUpdates(spread.NewItem, out, m)
	}
}

// applyMember merges one record and reports whether it changed the table. It
// logs a change and starts the suspicion timer of a suspect.
func (a *Agent) applyMember(now time.Time, m member.Member, out *effects) bool {
	if !a.table.Apply(now, m) {
		return false
	}
	out.log(effect.EventMemberChanged, "vm", m.VM, "status", m.Status.String(), "boot", m.Boot, "incarnation", m.Incarnation)
	if m.Status == member.Suspect {
		out.startTimer(a.cfg.SuspicionTimeout, effect.Timer{Kind: effect.TimerSuspicion, VM: m.VM, Boot: m.Boot, Incarnation: m.Incarnation})
	}
	return true
}

// mergeMembers applies records from a peer and forwards those that changed the
// table.
func (a *Agent) mergeMembers(now time.Time, fromVM string, members []member.Member, out *effects) {
	if !a.join.IsReady() {
		// While the node joins, most records belong to whole tables, which other
		// nodes already have.
		a.mergeWithoutForwarding(now, members, out)
		return
	}
	self := a.self.Get()
	var updated []member.Member
	for _, m := range members {
		if m.VM == self.VM {
			a.refuteClaim(now, m, out)
			continue
		}
		if a.applyMember(now, m, out) {
			updated = append(updated, m)
		}
	}
	if len(updated) > 0 {
		a.queueUpdates(a.originOf(fromVM, self), out, updated...)
	}
}

// refuteClaim refutes a peer's record of this node that supersedes the node's
// own. A record with a later boot describes a newer process on the VM and is
// ignored. A record that says that the node is leaving is accepted, since the
// platform decides that.
func (a *Agent) refuteClaim(now time.Time, claim member.Member, out *effects) {
	self := a.self.Get()
	if !claim.Supersedes(self) || claim.Boot > self.Boot {
		return
	}
	if claim.Status == member.Leaving {
		a.broadcastMember(now, a.self.Leave(now.UnixMilli()), out)
		return
	}
	m := a.self.Refute(claim, now.UnixMilli())
	out.log(effect.EventMemberRefuted, "claim", claim.Status.String(), "incarnation", m.Incarnation)
	a.broadcastMember(now, m, out)
}

// originOf returns the origin of an item from a peer. An unknown peer counts as
// one of the same zone, which has the fewest targets.
func (a *Agent) originOf(vm string, self member.Member) spread.Origin {
	m, ok := a.table.Get(vm)
	if !ok {
		return spread.FromSameZone
	}
	return spread.OriginOf(self.Zone, self.Region, m.Zone, m.Region)
}

func (a *Agent) queueUpdates(origin spread.Origin, out *effects, members ...member.Member) {
	if a.updates.Add(origin, members...) {
		out.startTimer(updateBatchDelay, effect.Timer{Kind: effect.TimerFlushUpdates})
	}
}

// flushUpdates sends the queued records in batches along one dissemination
// tree, which the first record selects: RendezvousWeight serves as a hash of
// that record here.
func (a *Agent) flushUpdates(now time.Time, out *effects) {
	members, origin := a.updates.Drain()
	if len(members) == 0 {
		return
	}
	self := a.self.Get()
	seed := spread.RendezvousWeight(members[0].VM, members[0].Boot+members[0].Incarnation)
	targets := spread.Targets(a.table.View(now), self, seed, origin, a.rng.Fork())
	for len(members) > 0 {
		n := min(len(members), maxUpdatesPerMessage)
		batch := &message.MemberUpdates{VM: self.VM, Members: members[:n]}
		for _, t := range targets {
			out.send(self, t, batch)
		}
		members = members[n:]
	}
}
