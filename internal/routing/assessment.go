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
	// triedInService is set if the call has already tried the upstream and it is
	// serving, busy or ready for a probe.
	triedInService bool
	// expectedLatency is in seconds.
	expectedLatency float64
	// ramp is the upstream's share of calls during slow start; 1 after it.
	ramp float64
}

// assess classifies a member as a candidate for a call. Leaving and joining
// members get no latency or ramp.
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
		a.triedInService = a.state == stateServing || a.state == stateBusy || a.state == stateProbe
		a.state = stateExcluded
	}
	return a
}
