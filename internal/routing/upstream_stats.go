package routing

import (
	"math"
	"time"
)

// upstreamStats holds what the node observed of one upstream in its own calls
// and in reports. It is guarded by the lock of its shard.
type upstreamStats struct {
	boot      uint64
	firstSeen time.Time
	lastUsed  time.Time

	// outstanding counts own calls in flight; progressAt is when any of them last
	// made progress, or when the first was started.
	outstanding int
	progressAt  time.Time

	latency   float64 // moving mean in seconds of completed calls
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
	// latencyWeight is the weight of a new sample. The mean covers about the last
	// 8 calls, so a slow upstream gets fewer calls within tens of calls.
	latencyWeight = 1.0 / 8
	// busyShare is the share of refused calls above which an upstream is busy.
	busyShare = 0.5
	// latencyHalfLife and failedHalfLife are the half-lives of own observations,
	// so that an upstream that was slow or failed once is tried again.
	latencyHalfLife = 5 * time.Second
	failedHalfLife  = time.Second
	// failureLimit is the number of consecutive failures that ejects an upstream.
	// A single failure may be caused by the call itself.
	failureLimit = 2
	// initialEjection and maxEjection bound the time until an ejected upstream is
	// probed. It doubles with each consecutive failure.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 15 * time.Second
	// leavingTTL is how long a leave notice counts if the same process stays in
	// the member view; a wrong notice must not exclude an upstream forever.
	leavingTTL = 60 * time.Second
	// stallLatencyFactor is the number of mean latencies without progress after
	// which an upstream is stalled, if that is longer than Options.StallTimeout.
	stallLatencyFactor = 8
	// unhealthyTTL is how long a failed health check counts.
	unhealthyTTL = 5 * time.Second
)

// resetOnRestart clears the statistics if the VM runs a newer process.
func (s *upstreamStats) resetOnRestart(now time.Time, boot uint64) {
	switch {
	case s.boot == 0:
		s.boot, s.firstSeen = boot, now
	case boot > s.boot:
		*s = upstreamStats{boot: boot, firstSeen: now, outstanding: s.outstanding, progressAt: now}
	}
	s.lastUsed = now
}

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

// stalled reports whether own calls are outstanding and none made progress for
// too long.
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
		ejection := initialEjection << min(s.failures-1, 5)
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

// expectedLatency returns the expected latency in seconds. Outstanding calls
// count in full, own latencies, refusals and failures decay with a half-life, and
// the load report loses its weight linearly until Options.ReportAge.
func (s *upstreamStats) expectedLatency(now time.Time, order int, o Options) float64 {
	base := defaultLatency.Seconds()
	if s.latency > 0 {
		base += (s.latency - base) * decay(now.Sub(s.latencyAt), latencyHalfLife)
	}
	slots := float64(max(s.report.Slots, 1))
	queue := float64(s.outstanding) / slots
	if !s.reportAt.IsZero() {
		freshness := 1 - now.Sub(s.reportAt).Seconds()/o.ReportAge.Seconds()
		if freshness > 0 {
			queue = max(queue, freshness*float64(s.report.Running+s.report.Waiting)/slots)
		}
	}
	cost := base * (1 + queue)
	recentFailures := 0.0
	if s.failures > 0 {
		recentFailures = float64(s.failures) * decay(now.Sub(s.failedAt), failedHalfLife)
	}
	cost *= 1 + refusedPenalty*s.refused[rankClass(order)].shareAt(now) + failedPenalty*recentFailures
	if !s.unhealthyAt.IsZero() && now.Sub(s.unhealthyAt) < unhealthyTTL {
		cost *= unhealthyPenalty
	}
	return cost
}

// decay returns the weight of an observation at an age, 1 for a new one.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

const (
	// defaultLatency is used for an upstream without observations. It is low, so
	// that new upstreams are tried.
	defaultLatency = 5 * time.Millisecond
	// refusedPenalty and failedPenalty raise the expected latency for refused and
	// failed own calls. unhealthyPenalty raises it for a failed health check,
	// which may be wrong and so must weigh less than one own failure.
	refusedPenalty   = 10
	failedPenalty    = 4
	unhealthyPenalty = 3
)
