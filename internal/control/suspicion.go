package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
)

// onSilent suspects a silent member. A leaving member that stays silent for the
// suspicion timeout has stopped; a suspicion would not supersede its status.
func (a *Agent) onSilent(now time.Time, m member.Member, overdue time.Duration, out *effects) {
	switch m.Status {
	case member.Alive:
		m.Status = member.Suspect
	case member.Leaving:
		if overdue < a.cfg.SuspicionTimeout {
			return
		}
		m.Status = member.Dead
	default:
		return
	}
	m.ChangedAt = now.UnixMilli()
	a.noteMember(now, m, out)
}

// onSuspicionTimer declares a suspect dead if it has not refuted.
func (a *Agent) onSuspicionTimer(now time.Time, t effect.Timer, out *effects) {
	m, ok := a.table.Get(t.VM)
	if !ok || m.Status != member.Suspect || m.Boot != t.Boot || m.Incarnation != t.Incarnation {
		return
	}
	if a.pausedAt(now) {
		return
	}
	m.Status = member.Dead
	m.ChangedAt = now.UnixMilli()
	a.noteMember(now, m, out)
}
