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

// startJoin begins an attempt to join: the node asks peers for their versions
// before it serves. It runs at the start and after a pause.
func (a *Agent) startJoin(now time.Time, out *effects) {
	a.join.Restart(now, a.cfg.JoinTimeout)
	a.delayPlatformReads(now)
	a.requestPeerState(now, out)
	out.startTimer(a.rng.Jitter(a.cfg.HeartbeatInterval/2), effect.Timer{Kind: effect.TimerJoin})
}

// delayPlatformReads sets the earliest times of platform reads after a start or
// a pause: a reader first collects members, other nodes first give the readers
// time to read, and nodes that have seeds but know no peer wait for a random
// time.
func (a *Agent) delayPlatformReads(now time.Time) {
	p := &a.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerNotBefore = now.Add(readerStartIntervals * a.cfg.HeartbeatInterval)
	p.fallbackNotBefore = now.Add(reader.StaleAfter)
	p.isolatedNotBefore = now
	if len(a.cfg.Seeds) > 0 {
		// Uniform in [0, isolatedReadWindow]: Jitter returns between 0.5 and 1.5
		// times its argument.
		p.isolatedNotBefore = now.Add(a.rng.Jitter(isolatedReadWindow) - isolatedReadWindow/2)
	}
}

// requestPeerState asks peers for their versions and members: by join requests
// to seeds while no peer is known, afterwards by heartbeats to random peers and,
// until a whole table has been received, by a comparison of the member table.
func (a *Agent) requestPeerState(now time.Time, out *effects) {
	self := a.self.Get()
	view := a.table.View(now)
	if len(view.All()) <= 1 {
		for _, addr := range a.randomSeeds(self.PeerAddr) {
			out.sendAddr(addr, &message.JoinRequest{From: self, JoinAttempt: a.join.PendingAttempt()})
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
	if !a.join.IsTableSynced() {
		a.sendTableDigests(nearestMembers(view, self), self, out)
	}
}

// nearestMembers returns the members of the zone if there are any besides the
// node itself, otherwise those of the region likewise, otherwise all members.
func nearestMembers(view *member.View, self member.Member) []member.Member {
	if zone := view.Zone(self.Zone); len(zone) > 1 {
		return zone
	}
	if region := view.Region(self.Region); len(region) > 1 {
		return region
	}
	return view.All()
}

// randomSeeds returns up to maxJoinSeeds random seeds, without the node's own
// address. The number is limited because a seed of the same zone answers with
// its whole member table, 1.4 MB at 7,300 nodes.
func (a *Agent) randomSeeds(ownAddr string) []string {
	seeds := slices.DeleteFunc(slices.Clone(a.cfg.Seeds), func(addr string) bool { return addr == ownAddr })
	a.rng.Fork().Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(len(seeds), maxJoinSeeds)]
}

// onJoinTimer repeats the requests to peers until the node is ready.
func (a *Agent) onJoinTimer(now time.Time, out *effects) {
	if a.join.IsReady() {
		return
	}
	a.requestPeerState(now, out)
	out.startTimer(a.rng.Jitter(a.cfg.HeartbeatInterval/2), effect.Timer{Kind: effect.TimerJoin})
}

// onJoinRequest answers a node of the same zone with the whole member table,
// and any other node with the members of this node's zone: the whole table is
// large, and a joining node may ask seeds in several zones.
func (a *Agent) onJoinRequest(now time.Time, m *message.JoinRequest, out *effects) {
	self := a.self.Get()
	// Reads the table and not the view: in a mass restart the view still lacks
	// the members that started at the same moment.
	members := a.table.All()
	if m.From.Zone != self.Zone {
		members = slices.DeleteFunc(members, func(m member.Member) bool { return m.Zone != self.Zone })
	}
	out.send(self, m.From, &message.JoinResponse{
		From:        self,
		Current:     a.store.CurrentID(),
		Ready:       a.Ready(now),
		Members:     members,
		JoinAttempt: m.JoinAttempt,
	})
	if a.applyMember(now, m.From, out) {
		a.queueUpdates(spread.NewItem, out, m.From)
		return
	}
	a.mergeSender(now, m.From, out)
}

func (a *Agent) onJoinResponse(now time.Time, m *message.JoinResponse, out *effects) {
	a.liveness.RecordContact(m.From.VM, now)
	a.mergeSender(now, m.From, out)
	a.mergeWithoutForwarding(now, m.Members, out)
	a.join.RecordVersion(m.From.VM, m.Current, m.Ready, true, m.JoinAttempt)
	self := a.self.Get()
	if m.From.Zone == self.Zone {
		a.join.SetTableSynced()
	}
	// The first seed to answer, if it is in another zone, is asked at once for the
	// members that its answer leaves out: the node could become ready before the
	// next comparison and not know the owners of idempotency keys.
	if a.join.RequestTableSync() {
		out.send(self, m.From, a.tableDigests(self, false))
	}
	a.fetchVersion(now, m.Current, m.From.VM, out)
}

// mergeWithoutForwarding applies records that other nodes are assumed to have
// already, and does not forward them.
func (a *Agent) mergeWithoutForwarding(now time.Time, members []member.Member, out *effects) {
	self := a.self.Get()
	for _, m := range members {
		if m.VM == self.VM {
			a.refuteClaim(now, m, out)
			continue
		}
		a.table.Apply(now, m)
		if m.Status == member.Suspect {
			out.startTimer(a.cfg.SuspicionTimeout, effect.Timer{Kind: effect.TimerSuspicion, VM: m.VM, Boot: m.Boot, Incarnation: m.Incarnation})
		}
	}
}

// completeJoin marks the node ready as soon as the conditions of state.Join
// hold.
func (a *Agent) completeJoin(now time.Time, out *effects) {
	if a.join.IsReady() {
		return
	}
	peers := len(a.table.View(now).All()) - 1
	if a.join.Complete(now, a.store.CurrentID(), peers, a.refusedVersions.Has) {
		out.log(effect.EventReady, "version", a.store.CurrentID().Version, "known_members", peers)
	}
}
