package placement

import "time"

// Cause says why no instance can take a call.
type Cause uint8

// The causes, in the order of precedence.
const (
	// CauseNone: the service has no serving instance.
	CauseNone Cause = iota
	// CauseRegion: the only serving instances are in regions that the call may not use.
	CauseRegion
	// CauseEvacuated: the instances that the call could use are in evacuated zones.
	CauseEvacuated
)

// UnavailableCause returns why Choose found no instance for a first attempt.
func UnavailableCause(now time.Time, q *Query) Cause {
	cause := CauseNone
	for _, i := range q.Candidates {
		allowed := q.AllowedRegions.Allows(i.Region)
		switch {
		case i.Evacuated && allowed:
			return CauseEvacuated
		case i.Serves(now) && !allowed:
			cause = CauseRegion
		}
	}
	return cause
}
