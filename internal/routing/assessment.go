package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// assessment is the state of one candidate when a call is routed.
type assessment struct {
	// member points into the view, which is immutable.
	member *member.Member
	state  state
	// tried is set if the call has already tried the upstream and the upstream
	// is in service.
	tried           bool
	expectedLatency float64
	ramp            float64
}

func (p *Picker) assess(now time.Time, q *Query, m *member.Member) assessment {
	a := assessment{member: m}
	switch {
	case m.Status == member.Leaving:
		a.state = stateLeaving
		return a
	case m.Boot == 0:
		a.state = stateJoining
		return a
	}
	shard := p.stats.shard(m.VM)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	stats := shard.get(m.VM)
	stats.resetOnRestart(now, m.Boot)
	a.state = stats.state(now, q.Order, p.options)
	a.expectedLatency = stats.expectedLatency(now, q.Order, p.options)
	a.ramp = stats.ramp(now, p.options)
	if m.Status == member.Suspect && a.state != stateLeaving {
		a.state = stateSuspect
	}
	if q.Exclude[m.VM] {
		a.tried = a.state == stateServing || a.state == stateBusy || a.state == stateProbe
		a.state = stateExcluded
	}
	return a
}
