package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
)

// ZoneSuspect reports whether an availability zone is suspect as a whole: more
// than half of its remembered members are dead or suspect, or no node that this
// node hears from has heard from it for some time. Its members keep their
// records and are probed as before, so that a zone that returns counts again
// with the first answer.
func (a *Agent) ZoneSuspect(now time.Time, zone string) bool {
	view, self := a.table.View(now), a.self.Get()
	if unavailable, total := view.ZoneAvailability(zone); 2*unavailable > total {
		return true
	}
	members := view.Zone(zone)
	if zone == self.Zone || len(members) == 0 {
		return false
	}
	timeout := zoneSilenceTimeout
	if members[0].Region != self.Region {
		timeout = crossRegionZoneSilenceTimeout
	}
	return a.zoneContacts.Silence(zone, now) > timeout
}

// mergeZoneContacts merges what a peer knows of the zones. What it heard is older by
// the message's delay than the ages tell; the limits leave room for that.
func (a *Agent) mergeZoneContacts(now time.Time, m *message.Heartbeat) {
	self := a.self.Get()
	if m.From.Zone != self.Zone {
		a.zoneContacts.Record(m.From.Zone, now)
	}
	for zone, age := range m.ZoneAgesMs {
		if zone != self.Zone && age >= 0 {
			a.zoneContacts.Record(zone, now.Add(-time.Duration(age)*time.Millisecond))
		}
	}
}

// probeDead sends a heartbeat to a member of the region that counts as dead. If
// its process lives, it learns of that and refutes. Both halves of a zone that
// was split take each other for dead; without probes they would not find back
// together.
func (a *Agent) probeDead(now time.Time, view *member.View, self member.Member, out *effects) {
	dead := view.Dead()
	if len(dead) == 0 {
		return
	}
	m := dead[a.rng.IntN(len(dead))]
	if m.Region == self.Region {
		out.send(self, m, a.heartbeat(now, false))
	}
}
