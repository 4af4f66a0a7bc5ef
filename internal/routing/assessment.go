package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// assessment is the node's view of one candidate at one moment.
type assessment struct {
	// member points into the view, which is immutable.
	member *member.Member
	state  state
	// tried is set if the call has tried the upstream and it is in service.
	tried    bool
	expected float64
	ramp     float64
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
	s := p.beliefs.shard(m.VM)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.get(m.VM)
	b.sync(now, m.Boot)
	a.state = b.state(now, q.Order, p.options)
	a.expected = b.expected(now, q.Order, p.options)
	a.ramp = b.ramp(now, p.options)
	if m.Status == member.Suspect && a.state != stateLeaving {
		a.state = stateSuspect
	}
	if q.Exclude[m.VM] {
		a.tried = a.state == stateServing || a.state == stateBusy || a.state == stateProbe
		a.state = stateExcluded
	}
	return a
}
