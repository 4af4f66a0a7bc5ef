package routing

import (
	"math"
	"time"
)

// belief is what the node knows of one upstream from its own calls and from
// reports. It is guarded by the lock of its shard.
type belief struct {
	boot      uint64
	firstSeen time.Time
	touched   time.Time

	// outstanding counts own calls in flight; progressAt is the last sign of
	// progress of any of them, or the start of the first.
	outstanding int
	progressAt  time.Time

	latency   float64 // moving mean in seconds of answered calls
	latencyAt time.Time
	refused   [rankClasses]refusedShare

	failures  int // consecutive failed or silent calls
	failedAt  time.Time
	silent    bool
	outUntil  time.Time
	report    LoadReport
	reportAt  time.Time
	leavingAt time.Time
	source    LeaveSource
	// unhealthyAt is when the health endpoint last reported a fault.
	unhealthyAt time.Time
}

const (
	// latencyWeight is the weight of a new sample; about the last 8 calls
	// count, so that a slow upstream loses calls within tens of calls.
	latencyWeight = 1.0 / 8
	// busyShare is the refused share from which an upstream counts as busy.
	busyShare = 0.5
	// latencyHalfLife and failedHalfLife age own observations, so that an
	// upstream that was slow or failed once is tried again.
	latencyHalfLife = 5 * time.Second
	failedHalfLife  = time.Second
	// failureLimit is the number of consecutive failures that takes an
	// upstream out. One failure may be the call's own doing.
	failureLimit = 2
	// outFirst and outMax bound the doubling time between probes.
	outFirst = 500 * time.Millisecond
	outMax   = 15 * time.Second
	// leavingMemory is how long a sign of leaving counts if the same process
	// stays in the member view; a wrong sign must not last forever.
	leavingMemory = 60 * time.Second
	// silenceLatencies is how many mean latencies without progress count as
	// silence for services that are slower than Options.Silence.
	silenceLatencies = 8
	// unhealthyMemory is how long a report of the health endpoint counts.
	unhealthyMemory = 5 * time.Second
)

// sync starts over when the VM runs another process.
func (b *belief) sync(now time.Time, boot uint64) {
	switch {
	case b.boot == 0:
		b.boot, b.firstSeen = boot, now
	case boot > b.boot:
		*b = belief{boot: boot, firstSeen: now, outstanding: b.outstanding, progressAt: now}
	}
	b.touched = now
}

func (b *belief) state(now time.Time, order int, o Options) state {
	if !b.leavingAt.IsZero() && now.Sub(b.leavingAt) < leavingMemory {
		return stateLeaving
	}
	if b.failures >= failureLimit || b.silent {
		if now.Before(b.outUntil) || b.outstanding > 0 {
			return b.outState()
		}
		return stateProbe
	}
	if b.stalled(now, o) {
		return stateSilent
	}
	if b.refused[rankClass(order)].at(now) > busyShare {
		return stateBusy
	}
	return stateServing
}

func (b *belief) outState() state {
	if b.silent {
		return stateSilent
	}
	return stateFailed
}

// stalled reports whether own calls are outstanding without any progress.
func (b *belief) stalled(now time.Time, o Options) bool {
	limit := max(o.Silence, time.Duration(silenceLatencies*b.latency*float64(time.Second)))
	return b.outstanding > 0 && now.Sub(b.progressAt) > limit
}

func (b *belief) observeLatency(now time.Time, d time.Duration) {
	if b.latencyAt.IsZero() {
		b.latency = d.Seconds()
	} else {
		b.latency += latencyWeight * (d.Seconds() - b.latency)
	}
	b.latencyAt = now
}

// fail takes the upstream out after failureLimit failures in a row. Calls that
// were already in flight when it was taken out do not lengthen its time out.
func (b *belief) fail(now time.Time, silent bool) {
	if now.Before(b.outUntil) {
		return
	}
	b.failures++
	b.failedAt = now
	b.silent = b.silent || silent
	if b.failures >= failureLimit || b.silent {
		out := outFirst << min(b.failures-1, 5)
		b.outUntil = now.Add(min(out, outMax))
	}
}

func (b *belief) succeed() {
	b.failures, b.silent, b.outUntil = 0, false, time.Time{}
}

// ramp returns the share of calls that a new process may get, 0 to 1.
func (b *belief) ramp(now time.Time, o Options) float64 {
	age := now.Sub(b.firstSeen)
	if boot := time.UnixMilli(int64(b.boot)); boot.Before(now) {
		age = max(age, now.Sub(boot))
	}
	return max(minRamp, min(1, age.Seconds()/o.RampTime.Seconds()))
}

// minRamp lets a cold upstream get enough calls to warm up.
const minRamp = 0.1

// expected returns the latency to expect in seconds. Own latency, outstanding
// and refused calls weigh in full; the report's part fades with its age.
func (b *belief) expected(now time.Time, order int, o Options) float64 {
	base := unknownLatency.Seconds()
	if b.latency > 0 {
		base += (b.latency - base) * fade(now.Sub(b.latencyAt), latencyHalfLife)
	}
	slots := float64(max(b.report.Slots, 1))
	queue := float64(b.outstanding) / slots
	if !b.reportAt.IsZero() {
		fresh := 1 - now.Sub(b.reportAt).Seconds()/o.ReportAge.Seconds()
		if fresh > 0 {
			queue = max(queue, fresh*float64(b.report.Running+b.report.Waiting)/slots)
		}
	}
	cost := base * (1 + queue)
	failed := 0.0
	if b.failures > 0 {
		failed = float64(b.failures) * fade(now.Sub(b.failedAt), failedHalfLife)
	}
	cost *= 1 + refusedCost*b.refused[rankClass(order)].at(now) + failedCost*failed
	if !b.unhealthyAt.IsZero() && now.Sub(b.unhealthyAt) < unhealthyMemory {
		cost *= unhealthyCost
	}
	return cost
}

// fade returns what remains of an observation at an age.
func fade(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

const (
	// unknownLatency stands for an upstream without observations. It is low,
	// so that unknown upstreams get tried.
	unknownLatency = 5 * time.Millisecond
	// refusedCost and failedCost multiply the expected latency by own
	// observations; unhealthyCost by a health report, which may be wrong and
	// so must weigh less than one own failure.
	refusedCost   = 10
	failedCost    = 4
	unhealthyCost = 3
)
