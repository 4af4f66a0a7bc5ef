package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
)

// onMissedHeartbeats marks a silent member suspect, or dead if another node
// already suspects it. A leaving member that stays silent for the suspicion
// timeout is marked dead directly, since suspect does not supersede leaving.
func (a *Agent) onMissedHeartbeats(now time.Time, m member.Member, overdue time.Duration, out *effects) {
	// The view may be older than the table.
	if held, ok := a.table.Get(m.VM); ok {
		m = held
	}
	switch m.Status {
	case member.Alive:
		m.Status = member.Suspect
		a.liveness.AddSuspicion(m)
	case member.Suspect:
		if a.liveness.HasSuspicion(m) {
			return
		}
		m.Status = member.Dead
	case member.Leaving:
		if overdue < a.cfg.SuspicionTimeout {
			return
		}
		m.Status = member.Dead
	default:
		return
	}
	m.ChangedAt = now.UnixMilli()
	a.broadcastMember(now, m, out)
}

// onSuspicionTimer marks a suspect dead if it has not refuted. Every node that
// knows of the suspicion does so by its own timer, and only the node that
// raised it broadcasts the record: if all 7,300 nodes did, one death would cost
// more than 100,000 messages.
func (a *Agent) onSuspicionTimer(now time.Time, t effect.Timer, out *effects) {
	m, ok := a.table.Get(t.VM)
	if !ok || m.Status != member.Suspect || m.Boot != t.Boot || m.Incarnation != t.Incarnation {
		return
	}
	// After a pause of this node, the member's refutation may still be queued.
	if a.wasPaused(now) {
		return
	}
	m.Status = member.Dead
	m.ChangedAt = now.UnixMilli()
	if a.liveness.HasSuspicion(m) {
		a.broadcastMember(now, m, out)
		return
	}
	a.applyMember(now, m, out)
}
