package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/spread"
)

func (a *Agent) heartbeat(now time.Time, reply bool) *message.Heartbeat {
	age := int64(message.UnknownAge)
	if d, ok := a.platform.lastReadAge(now); ok {
		age = d.Milliseconds()
	}
	return &message.Heartbeat{
		From:          a.self.Get(),
		Current:       a.store.CurrentID(),
		Ready:         a.Ready(now),
		PlatformAgeMs: age,
		ZoneAgesMs:    a.zoneContacts.Ages(now),
		JoinAttempt:   a.join.PendingAttempt(),
		Reply:         reply,
	}
}

func (a *Agent) onHeartbeat(now time.Time, m *message.Heartbeat, out *effects) {
	a.liveness.RecordContact(m.From.VM, now)
	if m.PlatformAgeMs >= 0 {
		a.platform.recordRead(now.Add(-time.Duration(m.PlatformAgeMs) * time.Millisecond))
	}
	a.mergeZoneContacts(now, m)
	a.mergeSender(now, m.From, out)
	a.join.RecordVersion(m.From.VM, m.Current, m.Ready, m.Reply && m.JoinAttempt != 0, m.JoinAttempt)
	if !m.Reply {
		reply := a.heartbeat(now, true)
		reply.JoinAttempt = m.JoinAttempt
		out.send(a.self.Get(), m.From, reply)
	}
	a.fetchVersion(now, m.Current, m.From.VM, out)
}

// mergeSender merges the sender's own record. If the table holds a record that
// supersedes it, that record is sent back, so that the sender can refute it.
func (a *Agent) mergeSender(now time.Time, from member.Member, out *effects) {
	self := a.self.Get()
	if a.table.Apply(now, from) {
		a.queueUpdates(spread.FromSameZone, out, from)
		return
	}
	if held, ok := a.table.Get(from.VM); ok && held.Supersedes(from) {
		out.send(self, from, &message.MemberUpdates{VM: self.VM, Members: []member.Member{held}})
	}
}

// onTick sends heartbeats, detects silent members and starts due platform
// reads. A tick that comes late enough shows that the process was paused; the
// node then joins again.
func (a *Agent) onTick(now time.Time, out *effects) {
	out.startTimer(a.rng.Jitter(a.cfg.HeartbeatInterval), effect.Timer{Kind: effect.TimerTick})
	if a.wasPaused(now) {
		out.log(effect.EventPauseDetected, "pause_ms", now.Sub(time.Unix(0, a.lastTick.Load())).Milliseconds())
		a.liveness.Reset()
		a.zoneContacts.Reset()
		a.startJoin(now, out)
	}
	a.lastTick.Store(now.UnixNano())
	tick := a.ticks.Add(1)
	view := a.table.View(now)
	self := a.self.Get()
	a.sendMonitoringHeartbeats(now, view, self, out)
	a.sendRandomHeartbeats(now, view, self, out)
	a.probeDead(now, view, self, out)
	if tick%crossRegionHeartbeatTicks == 0 {
		a.sendCrossRegionHeartbeats(now, view, self, tick, out)
	}
	a.compareTables(now, view, self, tick, out)
	a.startDueReads(now, view, self, out)
}

func (a *Agent) sendMonitoringHeartbeats(now time.Time, view *member.View, self member.Member, out *effects) {
	timeout := maxMissedIntervals * a.cfg.HeartbeatInterval * 3 / 2
	keep := map[string]bool{}
	for _, m := range a.monitoredMembers(view, self) {
		keep[m.VM] = true
		out.send(self, m, a.heartbeat(now, false))
		if silence := a.liveness.Silence(m.VM, now); silence > timeout {
			a.onMissedHeartbeats(now, m, silence-timeout, out)
		}
	}
	a.liveness.Retain(keep)
}

func (a *Agent) sendRandomHeartbeats(now time.Time, view *member.View, self member.Member, out *effects) {
	if m, ok := a.randomPeer(view.Zone(self.Zone), self); ok {
		out.send(self, m, a.heartbeat(now, false))
	}
	// Once in Fanout ticks on average, a heartbeat also goes to a random node of
	// the region, so that a zone learns of a version even if the message along
	// the dissemination tree was lost. Fanout only serves as a number here.
	if zones := view.Zones(self.Region); len(zones) > 1 && a.rng.IntN(spread.Fanout) == 0 {
		if m, ok := a.randomPeer(view.Region(self.Region), self); ok {
			out.send(self, m, a.heartbeat(now, false))
		}
	}
}

// sendCrossRegionHeartbeats sends a heartbeat to one node of each other region.
// Only the gateways of the region do so, since traffic between regions is
// charged by volume; there are two, because one may be dead or paused.
func (a *Agent) sendCrossRegionHeartbeats(now time.Time, view *member.View, self member.Member, tick uint64, out *effects) {
	if _, ok := spread.GatewayRank(view, self, a.gatewaySeed(now)); !ok {
		return
	}
	for _, region := range view.Regions() {
		if region == self.Region {
			continue
		}
		// The zones of a region take turns, which bounds the time between
		// contacts with each of them.
		zones := view.Zones(region)
		zone := zones[tick/crossRegionHeartbeatTicks%uint64(len(zones))]
		if m, ok := a.randomPeer(view.Zone(zone), self); ok {
			out.send(self, m, a.heartbeat(now, false))
			if tick%crossRegionAntiEntropyTicks == 0 {
				out.send(self, m, a.tableDigests(self, false))
			}
		}
	}
}

// gatewaySeed selects another pair of gateways each minute, so that a pair that
// is paused or partitioned is replaced.
func (a *Agent) gatewaySeed(now time.Time) uint64 { return uint64(now.Unix() / 60) }

// randomPeer returns a random member. The second result is false if there is
// none or if it is the node itself.
func (a *Agent) randomPeer(members []member.Member, self member.Member) (member.Member, bool) {
	if len(members) == 0 {
		return member.Member{}, false
	}
	m := members[a.rng.IntN(len(members))]
	return m, m.VM != self.VM
}

// monitoredMembers returns the ring successors that a node monitors.
func (a *Agent) monitoredMembers(view *member.View, self member.Member) []member.Member {
	return view.Successors(self, monitoredSuccessors)
}
