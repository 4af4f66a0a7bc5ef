package placement

import (
	"math"
	"time"

	"github.com/filbertpier/filbertpier/internal/halflife"
)

const (
	// rankClasses is the number of rank classes with separate statistics. Each of
	// the most urgent ranks has its own class; all others share the last.
	rankClasses = 8
	// serviceTimeWeight is the weight of a new service time; the average covers
	// about the last ten.
	serviceTimeWeight = 0.1
	// loadWeight is the weight of a new report in the average load.
	loadWeight = 0.2
	// loadReportDecay is the time constant with which the estimated load moves
	// from the last load report to the average load.
	loadReportDecay = 100 * time.Millisecond
	// loadHalfLife is the half-life of the average load without new reports.
	loadHalfLife = time.Second
	// failureWeight is the weight of a new outcome in the failure share.
	failureWeight = 0.15
	// failureHalfLife is the half-life of the failure share, so that a recovered
	// instance is tried again.
	failureHalfLife = 1500 * time.Millisecond
	// failureCost is the time that a call loses through a failed attempt.
	failureCost = 400 * time.Millisecond
	// An instance is ejected for initialEjection after a connection failure; each
	// consecutive failure doubles the time up to maxEjection.
	initialEjection = 100 * time.Millisecond
	maxEjection     = 2 * time.Second
	// minBusy and maxBusy bound how long an instance gets no calls after a
	// refusal.
	minBusy = 10 * time.Millisecond
	maxBusy = 300 * time.Millisecond
	// maxUtilization caps the utilization in the queueing formula, which has no
	// finite result at 1.
	maxUtilization = 0.97
	// minUsableSlots keeps expected times finite.
	minUsableSlots = 0.01
)

// instanceStats holds what this node has observed of one instance. It is guarded
// by the lock of its shard.
type instanceStats struct {
	serviceTime [rankClasses]average
	// observed is set once a call has ended and was not canceled.
	observed    bool
	outstanding int
	load        Load
	loadAt      time.Time
	// meanLoad is the moving average of the reported running and waiting calls.
	meanLoad float64
	// failureShare is the moving average of the share of failed calls.
	failureShare        float64
	failureAt           time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	// nodeDown is set while the instance's node cannot be reached.
	nodeDown  bool
	busyUntil [rankClasses]time.Time
	lastUsed  time.Time
}

func rankClass(order int) int { return min(max(order, 0), rankClasses-1) }

// finish records the outcome of an attempt.
func (s *instanceStats) finish(now time.Time, o Outcome) {
	s.outstanding = max(s.outstanding-1, 0)
	s.lastUsed = now
	s.observed = s.observed || o.Kind != Canceled
	if o.Load != nil {
		s.observeLoad(now, *o.Load)
	}
	switch o.Kind {
	case Completed:
		s.observeFailure(now, 0)
		s.consecutiveFailures, s.nodeDown = 0, false
		if o.ServiceTime > 0 {
			s.serviceTime[rankClass(o.Order)].observe(o.ServiceTime, serviceTimeWeight)
		}
	case ErrorResponse, Shed:
		s.observeFailure(now, 1)
	case Refused:
		until := now.Add(min(max(o.BusyFor, minBusy), maxBusy))
		for c := rankClass(o.Order); c < rankClasses; c++ {
			s.busyUntil[c] = until
		}
	case Unreachable, ConnectionBroken:
		s.observeFailure(now, 1)
		s.consecutiveFailures++
		s.ejectedUntil = now.Add(min(initialEjection<<min(s.consecutiveFailures-1, 8), maxEjection))
	case NodeDown:
		s.observeFailure(now, 1)
		s.nodeDown = true
	case Canceled, LinkBusy:
	}
}

func (s *instanceStats) observeLoad(now time.Time, l Load) {
	calls := float64(l.Running + l.Waiting)
	if s.loadAt.IsZero() {
		s.meanLoad = calls
	} else {
		s.meanLoad += loadWeight * (calls - s.meanLoad)
	}
	s.load, s.loadAt = l, now
}

func (s *instanceStats) observeFailure(now time.Time, v float64) {
	s.failureShare = s.failureShareAt(now)
	s.failureShare += failureWeight * (v - s.failureShare)
	s.failureAt = now
}

// failureShareAt returns the failure share, decayed to now.
func (s *instanceStats) failureShareAt(now time.Time) float64 {
	return s.failureShare * halflife.Weight(now.Sub(s.failureAt), failureHalfLife)
}

// expectedTime returns the expected time in seconds from the arrival of a call
// at the instance's node to the response, including the expected time lost by
// failed attempts. The argument serviceTime is used for a rank class that has no
// observation yet; coldCallsPerSecond is the limit of a cold instance, or zero.
func (s *instanceStats) expectedTime(now time.Time, order, slots int, serviceTime, coldCallsPerSecond float64) float64 {
	if a := &s.serviceTime[rankClass(order)]; a.initialized {
		serviceTime = a.mean
	}
	queueTime := s.queueTime(now, s.usableSlots(max(slots, 1), serviceTime, coldCallsPerSecond), serviceTime)
	failures := min(s.failureShareAt(now), 0.9)
	return serviceTime + queueTime + failures/(1-failures)*failureCost.Seconds()
}

// queueTime returns the expected queueing time in seconds. It is the higher of
// two estimates. The first is the wait for a free slot behind the calls now at the
// instance, according to its load reports or this node's outstanding calls. The
// second is the mean wait at the average load, by Sakasegawa's approximation for
// M/M/c queues.
func (s *instanceStats) queueTime(now time.Time, slots, serviceTime float64) float64 {
	age := now.Sub(s.loadAt)
	mean := s.meanLoad * halflife.Weight(age, loadHalfLife)
	reported := float64(s.load.Running + s.load.Waiting)
	current := mean + (reported-mean)*math.Exp(-age.Seconds()/loadReportDecay.Seconds())
	current = max(current, float64(s.outstanding))
	queued := max(0, current+1-slots) * serviceTime / slots
	utilization := min(max(mean, float64(s.outstanding))/slots, maxUtilization)
	steady := math.Pow(utilization, math.Sqrt(2*(slots+1))-1) / (1 - utilization) * serviceTime / slots
	return max(queued, steady)
}

// usableSlots returns how many slots calls of the given service time can occupy
// on average under the limit of calls per second that the instance reported or, if it
// is lower, that of its cold start.
func (s *instanceStats) usableSlots(slots int, serviceTime, coldCallsPerSecond float64) float64 {
	limit := s.load.CallsPerSecond
	if coldCallsPerSecond > 0 && (limit <= 0 || coldCallsPerSecond < limit) {
		limit = coldCallsPerSecond
	}
	if limit <= 0 {
		return float64(slots)
	}
	return min(float64(slots), max(limit*serviceTime, minUsableSlots))
}

// linkTime returns the expected time in seconds that a body of the given size waits
// for the VM's link, whose backlog in its direction is the one last reported, and
// takes to transmit; zero if it is small or the link is unlimited.
func (s *instanceStats) linkTime(now time.Time, bytes int, reported time.Duration) float64 {
	if s.load.LinkBytesPerSecond <= 0 || bytes <= smallBodyBytes {
		return 0
	}
	backlog := max(reported-now.Sub(s.loadAt), 0)
	return backlog.Seconds() + float64(bytes)/float64(s.load.LinkBytesPerSecond)
}
