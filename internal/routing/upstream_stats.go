package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/halflife"
)

// upstreamStats holds what the node observed of one upstream in its own calls
// and in reports. It is guarded by the lock of its shard.
type upstreamStats struct {
	// boot identifies the observed process by its start in Unix milliseconds.
	boot      uint64
	firstSeen time.Time
	// lastUsed is when the upstream was last a candidate or observed.
	lastUsed time.Time

	// outstanding counts this node's calls in flight; progressAt is when any of
	// them last made progress, or when the first was started.
	outstanding int
	progressAt  time.Time

	latency   float64 // moving average over completed calls, in seconds
	latencyAt time.Time
	refused   [rankClasses]refusedShare

	failures     int // consecutive calls that failed or got no response
	failedAt     time.Time
	unresponsive bool
	ejectedUntil time.Time
	report       LoadReport
	reportAt     time.Time
	leavingAt    time.Time
	leaveSource  LeaveSource
	// unhealthyAt is when the last health check failed; zero if it passed.
	unhealthyAt time.Time
}

const (
	// latencyWeight is the weight of a new sample. The average covers about the
	// last 8 calls, so calls move away from a slow upstream within tens of calls.
	latencyWeight = 1.0 / 8
	// busyShare is the share of refused calls above which an upstream is busy.
	busyShare = 0.5
	// latencyHalfLife and failedHalfLife are the half-lives of this node's own
	// observations, so that an upstream that was slow or failed is tried again.
	latencyHalfLife = 5 * time.Second
	failedHalfLife  = time.Second
	// failureLimit is the number of consecutive failures that ejects an upstream.
	// A single failure may be caused by the call itself.
	failureLimit = 2
	// An ejected upstream is probed after baseEjection if one call got no
	// response. The time doubles with each further consecutive failure up to
	// maxEjection, so an ejection by failureLimit failed calls starts at 1 s.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 15 * time.Second
	// leavingTTL is how long a leave notice counts if the same process stays in
	// the member view; a wrong notice must not exclude an upstream forever.
	leavingTTL = 60 * time.Second
	// An upstream is stalled after stallLatencyFactor times its average latency
	// without progress, and not before Options.StallTimeout.
	stallLatencyFactor = 8
	// unhealthyTTL is how long a failed health check counts.
	unhealthyTTL = 5 * time.Second
)

// resetOnRestart clears the statistics, except the outstanding calls, if the VM
// runs a newer process. It also updates lastUsed.
func (s *upstreamStats) resetOnRestart(now time.Time, boot uint64) {
	switch {
	case s.boot == 0:
		s.boot, s.firstSeen = boot, now
	case boot > s.boot:
		*s = upstreamStats{boot: boot, firstSeen: now, outstanding: s.outstanding, progressAt: now}
	}
	s.lastUsed = now
}

// state classifies the upstream for calls whose rank has the given position.
func (s *upstreamStats) state(now time.Time, order int, o Options) state {
	if !s.leavingAt.IsZero() && now.Sub(s.leavingAt) < leavingTTL {
		return stateLeaving
	}
	if s.failures >= failureLimit || s.unresponsive {
		if now.Before(s.ejectedUntil) || s.outstanding > 0 {
			return s.ejectedState()
		}
		return stateProbe
	}
	if s.stalled(now, o) {
		return stateUnresponsive
	}
	if s.refused[rankClass(order)].shareAt(now) > busyShare {
		return stateBusy
	}
	return stateServing
}

func (s *upstreamStats) ejectedState() state {
	if s.unresponsive {
		return stateUnresponsive
	}
	return stateFailed
}

// stalled reports whether this node's calls are outstanding and none of them has
// made progress within the stall limit.
func (s *upstreamStats) stalled(now time.Time, o Options) bool {
	limit := max(o.StallTimeout, time.Duration(stallLatencyFactor*s.latency*float64(time.Second)))
	return s.outstanding > 0 && now.Sub(s.progressAt) > limit
}

func (s *upstreamStats) observeLatency(now time.Time, d time.Duration) {
	if s.latencyAt.IsZero() {
		s.latency = d.Seconds()
	} else {
		s.latency += latencyWeight * (d.Seconds() - s.latency)
	}
	s.latencyAt = now
}

// recordFailure ejects the upstream after failureLimit consecutive failures or
// one call without a response. Calls that were in flight when the upstream was
// ejected do not extend the ejection.
func (s *upstreamStats) recordFailure(now time.Time, noResponse bool) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.failures++
	s.failedAt = now
	s.unresponsive = s.unresponsive || noResponse
	if s.failures >= failureLimit || s.unresponsive {
		ejection := baseEjection << min(s.failures-1, 5)
		s.ejectedUntil = now.Add(min(ejection, maxEjection))
	}
}

func (s *upstreamStats) recordSuccess() {
	s.failures, s.unresponsive, s.ejectedUntil = 0, false, time.Time{}
}

// ramp returns the share of its calls that an upstream may get during slow
// start: minRamp for a new process, 1 after Options.RampTime.
func (s *upstreamStats) ramp(now time.Time, o Options) float64 {
	age := now.Sub(s.firstSeen)
	if boot := time.UnixMilli(int64(s.boot)); boot.Before(now) {
		age = max(age, now.Sub(boot))
	}
	return max(minRamp, min(1, age.Seconds()/o.RampTime.Seconds()))
}

// minRamp gives a cold upstream enough calls to warm up.
const minRamp = 0.1

// expectedLatency returns the expected latency in seconds, raised by penalties.
// Outstanding calls count in full. Latencies, refusals and failures that this
// node observed decay with a half-life. The weight of the load report falls
// linearly to zero at Options.MaxReportAge.
func (s *upstreamStats) expectedLatency(now time.Time, order int, o Options) float64 {
	base := defaultLatency.Seconds()
	if s.latency > 0 {
		base += (s.latency - base) * halflife.Weight(now.Sub(s.latencyAt), latencyHalfLife)
	}
	slots := float64(max(s.report.Slots, 1))
	queue := float64(s.outstanding) / slots
	if !s.reportAt.IsZero() {
		freshness := 1 - now.Sub(s.reportAt).Seconds()/o.MaxReportAge.Seconds()
		if freshness > 0 {
			queue = max(queue, freshness*float64(s.report.Running+s.report.Waiting)/slots)
		}
	}
	cost := base * (1 + queue)
	recentFailures := 0.0
	if s.failures > 0 {
		recentFailures = float64(s.failures) * halflife.Weight(now.Sub(s.failedAt), failedHalfLife)
	}
	cost *= 1 + refusedPenalty*s.refused[rankClass(order)].shareAt(now) + failedPenalty*recentFailures
	if !s.unhealthyAt.IsZero() && now.Sub(s.unhealthyAt) < unhealthyTTL {
		cost *= unhealthyPenalty
	}
	return cost
}

const (
	// defaultLatency is used for an upstream without observations. It is low, so
	// that new upstreams are tried.
	defaultLatency = 5 * time.Millisecond
	// refusedPenalty and failedPenalty raise the expected latency for calls of
	// this node that were refused or failed. unhealthyPenalty raises it for a
	// failed health check, which may be wrong and so must weigh less than one
	// failed call.
	refusedPenalty   = 10
	failedPenalty    = 4
	unhealthyPenalty = 3
)
