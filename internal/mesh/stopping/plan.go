package stopping

import "time"

const (
	// callersLeaveTime is how long callers keep sending to a node that reports
	// unready: they are moved to other nodes after two failed ready checks, one a
	// second.
	callersLeaveTime = 2500 * time.Millisecond
	// maxCallersLeaveShare bounds callersLeaveTime to a fraction of the grace
	// period.
	maxCallersLeaveShare = 0.4
	// acceptShare is the fraction of the grace period after which a node takes no
	// call at all.
	acceptShare = 0.5
	// marginShare is the fraction of the grace period that is kept in reserve, so
	// that the node closes before it is killed.
	marginShare = 0.05
	// cancelTime is how long canceled calls may take to send their error
	// responses.
	cancelTime = 250 * time.Millisecond
	// FlushTime is how long the servers may take to send the last responses.
	FlushTime = 150 * time.Millisecond
)

// Plan holds the times of a planned stop. It is immutable.
type Plan struct {
	// CallersLeft is when callers have had time to switch to other nodes.
	CallersLeft time.Time
	// Drain is when the node begins to refuse all new calls.
	Drain time.Time
	// Cancel is when the calls that are still running are canceled.
	Cancel time.Time
	// Close is when the listeners close.
	Close time.Time
}

// NewPlan returns the plan of a stop that begins now and ends within gracePeriod.
func NewPlan(now time.Time, gracePeriod time.Duration) *Plan {
	closeAt := now.Add(gracePeriod - share(gracePeriod, marginShare) - FlushTime)
	return &Plan{
		CallersLeft: now.Add(min(callersLeaveTime, share(gracePeriod, maxCallersLeaveShare))),
		Drain:       now.Add(share(gracePeriod, acceptShare)),
		Cancel:      closeAt.Add(-cancelTime),
		Close:       closeAt,
	}
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// TakesFromCaller reports whether the node takes a call from a caller on its VM.
// Until CallersLeft it takes every call, since the caller has no other node to send
// it to and few calls need their whole deadline. Then it takes only calls that end
// before the node cancels them, whatever happens.
func (p *Plan) TakesFromCaller(now, deadline time.Time) bool {
	return now.Before(p.CallersLeft) || !deadline.After(p.Cancel)
}

// TakesFromNode reports whether the node takes a call from another node, which can
// send a refused call elsewhere. A call that may run again is taken as long as the
// upstream is used at all: if the node cancels it, the other node sends it again.
func (p *Plan) TakesFromNode(deadline time.Time, idempotent bool) bool {
	return idempotent || !deadline.After(p.Cancel)
}
