package placement

import (
	"math"
	"time"
)

const (
	// rankClasses bounds the ranks that are told apart; later ones share the
	// last class.
	rankClasses = 8
	// ranWeight is the weight of a new service time; about the last ten count.
	ranWeight = 0.1
	// loadWeight is the weight of a new report in the average load.
	loadWeight = 0.2
	// loadMemory is how long a report says more than the average.
	loadMemory = 100 * time.Millisecond
	// loadHalfLife ages the average load while no reports come.
	loadHalfLife = time.Second
	// failWeight is the weight of an outcome in the share of failures.
	failWeight = 0.15
	// failHalfLife ages the share of failures, so that a recovered instance is
	// tried again.
	failHalfLife = 1500 * time.Millisecond
	// failCost is the time that a failed attempt costs a call.
	failCost = 400 * time.Millisecond
	// outFirst and outMax bound the doubling time out after failures in a row.
	outFirst = 100 * time.Millisecond
	outMax   = 2 * time.Second
	// minBusy and maxBusy bound how long a refusal keeps calls away.
	minBusy = 10 * time.Millisecond
	maxBusy = 300 * time.Millisecond
	// maxUse bounds the utilization in the queueing formula.
	maxUse = 0.97
)

// belief is what this node knows of one instance. It is guarded by the lock of
// its shard.
type belief struct {
	ran [rankClasses]average
	// known is set once a call has ended.
	known       bool
	outstanding int
	load        Load
	loadAt      time.Time
	meanLoad    float64
	failShare   float64
	failAt      time.Time
	inARow      int
	outUntil    time.Time
	// lost is set until the instance's node is reached again.
	lost      bool
	busyUntil [rankClasses]time.Time
	touched   time.Time
}

func rankClass(order int) int { return min(max(order, 0), rankClasses-1) }

// finish records the end of an attempt.
func (b *belief) finish(now time.Time, o Outcome) {
	b.outstanding = max(b.outstanding-1, 0)
	b.touched = now
	b.known = b.known || o.Kind != Canceled
	if o.Load != nil {
		b.observeLoad(now, *o.Load)
	}
	switch o.Kind {
	case Completed:
		b.observeFailure(now, 0)
		b.inARow, b.lost = 0, false
		if o.ServiceTime > 0 {
			b.ran[rankClass(o.Order)].observe(o.ServiceTime, ranWeight)
		}
	case ErrorResponse, Shed:
		b.observeFailure(now, 1)
	case Refused:
		until := now.Add(min(max(o.BusyFor, minBusy), maxBusy))
		for c := rankClass(o.Order); c < rankClasses; c++ {
			b.busyUntil[c] = until
		}
	case Unreachable, ConnectionBroken:
		b.observeFailure(now, 1)
		b.inARow++
		b.outUntil = now.Add(min(outFirst<<min(b.inARow-1, 8), outMax))
	case NodeDown:
		b.observeFailure(now, 1)
		b.lost = true
	case Canceled, LinkBusy:
	}
}

func (b *belief) observeLoad(now time.Time, l Load) {
	sum := float64(l.Running + l.Waiting)
	if b.loadAt.IsZero() {
		b.meanLoad = sum
	} else {
		b.meanLoad += loadWeight * (sum - b.meanLoad)
	}
	b.load, b.loadAt = l, now
}

func (b *belief) observeFailure(now time.Time, v float64) {
	b.failShare = b.failures(now)
	b.failShare += failWeight * (v - b.failShare)
	b.failAt = now
}

// failures returns the share of failures, aged.
func (b *belief) failures(now time.Time) float64 {
	return b.failShare * fade(now.Sub(b.failAt), failHalfLife)
}

// expected returns the time in seconds from the arrival of a call at the
// instance's node to its answer.
func (b *belief) expected(now time.Time, order, slots int, service float64) float64 {
	if a := &b.ran[rankClass(order)]; a.set {
		service = a.mean
	}
	wait := b.wait(now, max(slots, 1), service)
	fail := min(b.failures(now), 0.9)
	return service + wait + fail/(1-fail)*failCost.Seconds()
}

// wait returns the time that a call is expected to queue: what the last report
// implies while it is fresh, else what a queue at the average load implies
// (Sakasegawa's approximation for several servers).
func (b *belief) wait(now time.Time, slots int, service float64) float64 {
	age := now.Sub(b.loadAt)
	mean := b.meanLoad * fade(age, loadHalfLife)
	sum := float64(b.load.Running + b.load.Waiting)
	current := mean + (sum-mean)*math.Exp(-age.Seconds()/loadMemory.Seconds())
	current = max(current, float64(b.outstanding))
	queued := max(0, current+1-float64(slots)) * service / float64(slots)
	use := min(max(mean, float64(b.outstanding))/float64(slots), maxUse)
	steady := math.Pow(use, math.Sqrt(2*float64(slots+1))-1) / (1 - use) * service / float64(slots)
	return max(queued, steady)
}

// fade returns what remains of an observation at an age.
func fade(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// sending returns the time in seconds that an answer of some bytes is expected
// to wait for the VM's link and to take on it.
func (b *belief) sending(now time.Time, bytes int) float64 {
	if b.load.LinkBytesPerSecond <= 0 {
		return 0
	}
	backlog := max(b.load.LinkBacklog-now.Sub(b.loadAt), 0)
	return backlog.Seconds() + float64(bytes)/float64(b.load.LinkBytesPerSecond)
}
