package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Start records that a call is sent to an upstream.
func (p *Picker) Start(now time.Time, m member.Member) {
	p.beliefs.shard(m.VM).with(m.VM, func(b *belief) {
		b.sync(now, m.Boot)
		if b.outstanding == 0 {
			b.progressAt = now
		}
		b.outstanding++
	})
}

// Progress records a sign of life of an outstanding call: an informational
// response or part of an answer.
func (p *Picker) Progress(now time.Time, vm string) {
	p.beliefs.shard(vm).with(vm, func(b *belief) { b.progressAt = now })
}

// Finish records how a started call ended. A caller that leaves an upstream
// that shows no progress counts as silence.
func (p *Picker) Finish(now time.Time, m member.Member, r Result) {
	p.beliefs.shard(m.VM).with(m.VM, func(b *belief) {
		if r.Outcome == OutcomeCanceled && b.stalled(now, p.options) {
			r.Outcome = OutcomeNoResponse
		}
		b.outstanding = max(b.outstanding-1, 0)
		if m.Boot < b.boot {
			return
		}
		b.sync(now, m.Boot)
		b.finish(now, r)
	})
}

func (b *belief) finish(now time.Time, r Result) {
	if r.Outcome != OutcomeNoResponse && r.Outcome != OutcomeCanceled {
		b.progressAt = now
	}
	switch r.Outcome {
	case OutcomeCompleted:
		b.succeed()
		b.observeLatency(now, r.Latency)
		b.refused[rankClass(r.Order)].observe(now, 0)
	case OutcomeRefused:
		b.succeed()
		b.refused[rankClass(r.Order)].observe(now, 1)
	case OutcomeLeaving:
		b.leave(now, LeaveAnswer)
	case OutcomeFailed:
		b.fail(now, false)
	case OutcomeNoResponse:
		b.fail(now, true)
	}
	if r.Report != nil {
		b.observeReport(now, *r.Report)
	}
}

func (b *belief) observeReport(now time.Time, r LoadReport) {
	b.report, b.reportAt = r, now
	if r.Leaving {
		b.leave(now, LeaveAnswer)
	}
}

// leave records a sign of leaving. Later signs extend the time that it counts.
func (b *belief) leave(now time.Time, source LeaveSource) {
	if b.leavingAt.IsZero() {
		b.source = source
	}
	b.leavingAt = now
}

// ObserveLeaving records a sign from any source that the process of a VM with
// this boot leaves. From then on it gets no new work.
func (p *Picker) ObserveLeaving(now time.Time, vm string, boot uint64, source LeaveSource) {
	p.beliefs.shard(vm).with(vm, func(b *belief) {
		if boot < b.boot {
			return
		}
		b.sync(now, boot)
		b.leave(now, source)
	})
}

// Leaving returns where the first sign came from that a VM leaves, if any
// counts at a time.
func (p *Picker) Leaving(now time.Time, vm string) (source LeaveSource, leaving bool) {
	p.beliefs.shard(vm).with(vm, func(b *belief) {
		source, leaving = b.source, !b.leavingAt.IsZero() && now.Sub(b.leavingAt) < leavingMemory
	})
	return source, leaving
}

// ObserveReport records a load report that came without an answer.
func (p *Picker) ObserveReport(now time.Time, vm string, r LoadReport) {
	p.beliefs.shard(vm).with(vm, func(b *belief) {
		b.touched = now
		b.observeReport(now, r)
	})
}

// ObserveHealth records what a health endpoint says of an upstream. It only
// lowers the preference, because the endpoint may lag or be wrong.
func (p *Picker) ObserveHealth(now time.Time, vm string, healthy bool) {
	p.beliefs.shard(vm).with(vm, func(b *belief) {
		b.touched = now
		b.unhealthyAt = time.Time{}
		if !healthy {
			b.unhealthyAt = now
		}
	})
}

// Expire forgets VMs that were neither considered nor observed since a time.
func (p *Picker) Expire(since time.Time) { p.beliefs.expire(since) }

// TrackedVMs returns the number of VMs that the picker remembers.
func (p *Picker) TrackedVMs() int { return p.beliefs.size() }
