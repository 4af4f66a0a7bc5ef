package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
)

// ZoneSuspect reports whether an availability zone is suspect as a whole: more
// than half of its known members are dead or suspect or, for a zone other than
// the node's own, no contact with it is known within the timeout. Its members
// keep their status and still get heartbeats; the first reply ends a suspicion
// caused by silence.
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

// mergeZoneContacts records a heartbeat as a contact with the sender's zone, and
// the contacts whose ages the heartbeat reports, except with the node's own
// zone.
// The ages do not include the delay of the message; the timeouts are long
// enough to absorb it.
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

// probeDead sends a heartbeat to a random dead member if it is in the same
// region. If its process still runs, it replies, receives the dead record and
// refutes it. Without probes the two halves of a partitioned zone would keep
// each other marked dead.
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
