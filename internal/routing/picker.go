package routing

import (
	"time"
)

// Picker chooses upstreams for calls from the node's own view. It is safe for
// concurrent use.
type Picker struct {
	options Options
	beliefs *beliefs
}

// NewPicker returns a picker with the default options.
func NewPicker() *Picker { return NewPickerWith(Options{}) }

// NewPickerWith returns a picker.
func NewPickerWith(o Options) *Picker {
	return &Picker{options: o.withDefaults(), beliefs: newBeliefs()}
}

// Pick chooses an upstream: in the node's zone while it serves, else in its
// region, else in another region if the call is worth it. It returns a
// *NoUpstreamError. For each decision the caller calls Start before it sends
// the call and Finish when it ends.
func (p *Picker) Pick(now time.Time, q Query) (Decision, error) {
	var f field
	all := q.View.Service(q.Service)
	for i := range all {
		m := &all[i]
		f.add(scopeIndex(&q.Self, m), p.assess(now, &q, m), q.Rand)
	}
	scope, reason, candidates := p.order(now, &q, &f)
	if candidates == nil {
		return Decision{}, &NoUpstreamError{
			Service: q.Service, Known: f.known, LeftOut: f.left, RetryAfter: outFirst,
			RemoteWithheld: f.serving[2].count > 0,
		}
	}
	a := candidates.choose(q.Rand)
	if scope == 0 && a.state == stateServing && f.serving[1].count > 0 && q.Rand.Float64() > a.ramp {
		// The zone has no warm upstream to share with.
		scope, reason, candidates = 1, ReasonZoneCold, &f.serving[1]
		a = candidates.choose(q.Rand)
	}
	return Decision{
		Member: *a.member, Scope: scopes[scope], Reason: reason, Candidates: candidates.count, LeftOut: f.left,
		Expected: time.Duration(a.expected * float64(time.Second)),
	}, nil
}

// order returns the candidates that go first.
func (p *Picker) order(now time.Time, q *Query, f *field) (int, Reason, *pool) {
	// A probe goes first in its scope: it is one call at a time, and without
	// it a recovered upstream would stay out.
	for scope := range 2 {
		if f.probes[scope].count > 0 && (scope == 0 || f.serving[0].count == 0) {
			return scope, ReasonProbe, &f.probes[scope]
		}
		if f.serving[scope].count > 0 {
			return scope, nearReason(scope, f), &f.serving[scope]
		}
	}
	busy := f.busy[0].count+f.busy[1].count+f.triedNear > 0
	if f.serving[2].count > 0 && p.worthRemote(now, q, busy) {
		if busy {
			return 2, ReasonRegionBusy, &f.serving[2]
		}
		return 2, ReasonRegionDown, &f.serving[2]
	}
	for scope := range 2 {
		if f.busy[scope].count > 0 {
			return scope, nearReason(scope, f), &f.busy[scope]
		}
	}
	for scope := range 2 {
		if f.out[scope].count > 0 {
			return scope, ReasonLastResort, &f.out[scope]
		}
	}
	return 0, "", nil
}

func nearReason(scope int, f *field) Reason {
	switch {
	case scope == 0:
		return ReasonNearest
	case f.busy[0].count > 0:
		return ReasonZoneBusy
	default:
		return ReasonZoneDown
	}
}

// worthRemote weighs the worth of a call against its bytes between regions.
func (p *Picker) worthRemote(now time.Time, q *Query, busy bool) bool {
	if !q.Deadline.IsZero() && q.Deadline.Sub(now) <= p.options.RegionRoundTrip {
		return false
	}
	price := p.options.RegionPrice
	if busy {
		// A flood is rarely in one region only: at least half of the target
		// must remain for queue and service there.
		if q.Target > 0 && 2*p.options.RegionRoundTrip > q.Target {
			return false
		}
		price *= p.options.BusyFactor
	}
	bytes := q.Bytes
	if bytes <= 0 {
		bytes = unknownBytes
	}
	return q.Worth*(1<<20) >= price*float64(bytes)
}

// unknownBytes is used for calls of unknown size.
const unknownBytes = 16 << 10
