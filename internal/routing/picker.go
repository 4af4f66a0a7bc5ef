package routing

import (
	"time"
)

// Picker selects upstreams for calls from the member view and the node's own
// statistics. It is safe for concurrent use.
type Picker struct {
	options Options
	stats   *statsTable
}

// NewPicker returns a picker with the default options.
func NewPicker() *Picker { return NewPickerWith(Options{}) }

// NewPickerWith returns a picker with the given options.
func NewPickerWith(o Options) *Picker {
	return &Picker{options: o.withDefaults(), stats: newStatsTable()}
}

// Pick selects an upstream: in the node's zone if one serves there, else in its
// region, else in another region if the call's worth covers the cost, else a busy
// or unavailable one in its region. It returns a *NoUpstreamError if there is
// none. For each decision the caller must call Start before it sends the call and
// Finish when the call ends.
func (p *Picker) Pick(now time.Time, q Query) (Decision, error) {
	var set candidateSet
	all := q.View.Service(q.Service)
	for i := range all {
		m := &all[i]
		if !q.AllowedRegions.Allows(m.Region) {
			set.addForbidden()
			continue
		}
		set.add(scopeIndex(&q.Self, m), p.assess(now, &q, m), q.Rand)
	}
	scope, reason, candidates := p.selectCandidates(now, &q, &set)
	if candidates == nil {
		return Decision{}, &NoUpstreamError{
			Service: q.Service, Known: set.total, Skipped: set.skipped, RetryAfter: baseEjection,
			RemoteSkipped: set.serving[2].count > 0,
		}
	}
	a := candidates.choose(q.Rand)
	if scope == 0 && a.state == stateServing && set.serving[1].count > 0 && q.Rand.Float64() > a.ramp {
		// The upstream is in slow start. The calls beyond its share go to another
		// zone of the region.
		scope, reason, candidates = 1, ReasonZoneCold, &set.serving[1]
		a = candidates.choose(q.Rand)
	}
	return Decision{
		Member: *a.member, Scope: scopes[scope], Reason: reason, Candidates: candidates.count, Skipped: set.skipped,
		Expected: time.Duration(a.expectedLatency * float64(time.Second)),
	}, nil
}

// selectCandidates returns the scope and the sample to choose from, or a nil
// sample if no upstream can take the call.
func (p *Picker) selectCandidates(now time.Time, q *Query, set *candidateSet) (int, Reason, *candidateSample) {
	// Probes come first in their scope, because only a call shows that an ejected
	// upstream has recovered. An upstream gets one probe at a time.
	for scope := range 2 {
		if set.probes[scope].count > 0 && (scope == 0 || set.serving[0].count == 0) {
			return scope, ReasonProbe, &set.probes[scope]
		}
		if set.serving[scope].count > 0 {
			return scope, inRegionReason(scope, set), &set.serving[scope]
		}
	}
	regionBusy := set.busy[0].count+set.busy[1].count+set.triedInRegion > 0
	if set.serving[2].count > 0 && p.worthCrossRegion(now, q, regionBusy) {
		if regionBusy {
			return 2, ReasonRegionBusy, &set.serving[2]
		}
		return 2, ReasonRegionDown, &set.serving[2]
	}
	for scope := range 2 {
		if set.busy[scope].count > 0 {
			return scope, inRegionReason(scope, set), &set.busy[scope]
		}
	}
	for scope := range 2 {
		if set.unavailable[scope].count > 0 {
			return scope, ReasonLastResort, &set.unavailable[scope]
		}
	}
	return 0, "", nil
}

func inRegionReason(scope int, set *candidateSet) Reason {
	switch {
	case scope == 0:
		return ReasonNearest
	case set.busy[0].count > 0:
		return ReasonZoneBusy
	default:
		return ReasonZoneDown
	}
}

// worthCrossRegion reports whether the call's worth covers the cost of sending
// its bytes between regions, and its deadline and target allow the extra latency.
func (p *Picker) worthCrossRegion(now time.Time, q *Query, regionBusy bool) bool {
	if !q.Deadline.IsZero() && q.Deadline.Sub(now) <= p.options.RegionRoundTrip {
		return false
	}
	costPerMiB := p.options.RemoteCostPerMiB
	if regionBusy {
		// An overload rarely affects only one region, so at least half of the
		// target must remain for queueing and service in the other one.
		if q.Target > 0 && 2*p.options.RegionRoundTrip > q.Target {
			return false
		}
		costPerMiB *= p.options.BusyCostFactor
	}
	bytes := q.Bytes
	if bytes <= 0 {
		bytes = defaultCallBytes
	}
	return q.Worth*(1<<20) >= costPerMiB*float64(bytes)
}

// defaultCallBytes replaces the size of a call if it is unknown.
const defaultCallBytes = 16 << 10
