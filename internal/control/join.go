package control

import (
	"slices"
	"time"

	"github.com/filbertpier/filbertpier/internal/control/state"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/reader"
	"github.com/filbertpier/filbertpier/internal/spread"
)

// startJoin makes the node ask peers before it serves. It runs at the start and
// after a pause.
func (a *Agent) startJoin(now time.Time, out *effects) {
	a.join.Restart(now, a.cfg.JoinTimeout)
	a.delayReading(now)
	a.askToJoin(now, out)
	out.timer(a.rng.Jitter(a.cfg.HeartbeatInterval/2), effect.Timer{Kind: effect.TimerJoin})
}

// delayReading spreads the platform reads of nodes that all start at once.
func (a *Agent) delayReading(now time.Time) {
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerNotBefore = now.Add(settleIntervals * a.cfg.HeartbeatInterval)
	p.fallbackNotBefore = now.Add(reader.StaleAfter)
	p.aloneNotBefore = now
	if len(a.cfg.Seeds) > 0 {
		p.aloneNotBefore = now.Add(a.rng.Jitter(joinListWindow) - joinListWindow/2)
	}
}

// askToJoin sends join requests to the seeds while no peer is known, and
// heartbeats to random peers afterwards, whose replies name their version.
func (a *Agent) askToJoin(now time.Time, out *effects) {
	self := a.self.Get()
	view := a.table.View(now)
	if len(view.All()) <= 1 {
		for _, addr := range a.someSeeds(self.PeerAddr) {
			out.sendAddr(addr, &message.JoinRequest{From: self, Ask: a.join.Ask()})
		}
		return
	}
	for range state.JoinPeers {
		if m, ok := a.randomPeer(view.Region(self.Region), self); ok {
			out.send(self, m, a.heartbeat(now, false))
		}
	}
	if m, ok := a.randomPeer(view.All(), self); ok {
		out.send(self, m, a.heartbeat(now, false))
	}
	if !a.join.IsSynced() {
		a.compareTables(nearest(view, self), self, out)
	}
}

// nearest returns the members of the zone, else of the region, else all, whichever
// has more than the node itself.
func nearest(view *member.View, self member.Member) []member.Member {
	if zone := view.Zone(self.Zone); len(zone) > 1 {
		return zone
	}
	if region := view.Region(self.Region); len(region) > 1 {
		return region
	}
	return view.All()
}

// someSeeds returns up to joinSeeds other seeds at random: each one answers with
// its whole member table, 1.4 MB at 7,300 nodes.
func (a *Agent) someSeeds(self string) []string {
	seeds := slices.DeleteFunc(slices.Clone(a.cfg.Seeds), func(addr string) bool { return addr == self })
	a.rng.Fork().Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(len(seeds), joinSeeds)]
}

// onJoinTimer repeats the questions until the node is ready.
func (a *Agent) onJoinTimer(now time.Time, out *effects) {
	if a.join.IsReady() {
		return
	}
	a.askToJoin(now, out)
	out.timer(a.rng.Jitter(a.cfg.HeartbeatInterval/2), effect.Timer{Kind: effect.TimerJoin})
}

// onJoinRequest answers with the whole fleet within a zone and with the own zone
// otherwise: the whole fleet takes about a megabyte at 7,300 members, and a
// joining node asks seeds in every zone.
func (a *Agent) onJoinRequest(now time.Time, m *message.JoinRequest, out *effects) {
	self := a.self.Get()
	// Not from the view: in a mass restart it lags behind by the very members
	// that started in the same moment.
	members := a.table.All()
	if m.From.Zone != self.Zone {
		members = slices.DeleteFunc(members, func(m member.Member) bool { return m.Zone != self.Zone })
	}
	out.send(self, m.From, &message.JoinResponse{
		From:    self,
		Current: a.store.CurrentID(),
		Ready:   a.Ready(now),
		Members: members,
		Ask:     m.Ask,
	})
	if a.applyMember(now, m.From, out) {
		a.queueUpdates(spread.FromPlatform, out, m.From)
		return
	}
	a.hearSender(now, m.From, out)
}

func (a *Agent) onJoinResponse(now time.Time, m *message.JoinResponse, out *effects) {
	a.watches.Mark(m.From.VM, now)
	a.hearSender(now, m.From, out)
	a.mergeQuietly(now, m.Members, out)
	a.join.Hear(m.From.VM, m.Current, m.Ready, true, m.Ask)
	if m.From.Zone == a.self.Get().Zone {
		a.join.SetSynced()
	}
	a.onOffer(now, m.Current, m.From.VM, out)
}

// mergeQuietly applies a whole table without passing it on: the others have it.
func (a *Agent) mergeQuietly(now time.Time, members []member.Member, out *effects) {
	self := a.self.Get()
	for _, m := range members {
		if m.VM == self.VM {
			a.answerClaim(now, m, out)
			continue
		}
		a.table.Apply(now, m)
		if m.Status == member.Suspect {
			out.timer(a.cfg.SuspicionTimeout, effect.Timer{Kind: effect.TimerSuspicion, VM: m.VM, Boot: m.Boot, Incarnation: m.Incarnation})
		}
	}
}

// checkReady lets the node serve as soon as it has joined.
func (a *Agent) checkReady(now time.Time, out *effects) {
	if a.join.IsReady() {
		return
	}
	known := len(a.table.View(now).All()) - 1
	if a.join.Complete(now, a.store.CurrentID(), known, a.refused.Has) {
		out.log(effect.EventReady, "version", a.store.CurrentID().Version, "known_members", known)
	}
}
