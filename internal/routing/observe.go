package routing

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
)

// Start counts a call as outstanding at an upstream until Finish.
func (p *Picker) Start(now time.Time, m member.Member) {
	p.stats.shard(m.VM).update(m.VM, func(s *upstreamStats) {
		s.resetOnRestart(now, m.Boot)
		if s.outstanding == 0 {
			s.progressAt = now
		}
		s.outstanding++
	})
}

// Progress records that an outstanding call made progress: an informational
// response or a part of the response arrived.
func (p *Picker) Progress(now time.Time, vm string) {
	p.stats.shard(vm).update(vm, func(s *upstreamStats) { s.progressAt = now })
}

// Finish records the result of a started call. A canceled call counts as
// OutcomeNoResponse if the upstream was stalled. The result of a call to an
// earlier process of the VM is ignored; the call only stops being outstanding.
func (p *Picker) Finish(now time.Time, m member.Member, r Result) {
	p.stats.shard(m.VM).update(m.VM, func(s *upstreamStats) {
		if r.Outcome == OutcomeCanceled && s.stalled(now, p.options) {
			r.Outcome = OutcomeNoResponse
		}
		s.outstanding = max(s.outstanding-1, 0)
		if m.Boot < s.boot {
			return
		}
		s.resetOnRestart(now, m.Boot)
		s.finish(now, r)
	})
}

func (s *upstreamStats) finish(now time.Time, r Result) {
	if r.Outcome != OutcomeNoResponse && r.Outcome != OutcomeCanceled {
		s.progressAt = now
	}
	switch r.Outcome {
	case OutcomeCompleted:
		s.recordSuccess()
		s.observeLatency(now, r.Latency)
		s.refused[rankClass(r.Order)].observe(now, 0)
	case OutcomeRefused:
		s.recordSuccess()
		s.refused[rankClass(r.Order)].observe(now, 1)
	case OutcomeLeaving:
		s.recordLeaving(now, LeaveResponse)
	case OutcomeFailed:
		s.recordFailure(now, false)
	case OutcomeNoResponse:
		s.recordFailure(now, true)
	}
	if r.Report != nil {
		s.observeReport(now, *r.Report)
	}
}

func (s *upstreamStats) observeReport(now time.Time, r LoadReport) {
	s.report, s.reportAt = r, now
	if r.Leaving {
		s.recordLeaving(now, LeaveResponse)
	}
}

// recordLeaving records a leave notice. Each further notice restarts leavingTTL.
func (s *upstreamStats) recordLeaving(now time.Time, source LeaveSource) {
	if s.leavingAt.IsZero() {
		s.leaveSource = source
	}
	s.leavingAt = now
}

// ObserveLeaving records a notice that the process of a VM with this boot is
// leaving. The process gets no new calls until leavingTTL after the last notice.
func (p *Picker) ObserveLeaving(now time.Time, vm string, boot uint64, source LeaveSource) {
	p.stats.shard(vm).update(vm, func(s *upstreamStats) {
		if boot < s.boot {
			return
		}
		s.resetOnRestart(now, boot)
		s.recordLeaving(now, source)
	})
}

// Leaving reports whether a leave notice for a VM is in effect at now, and the
// source of the process's first notice.
func (p *Picker) Leaving(now time.Time, vm string) (source LeaveSource, leaving bool) {
	p.stats.shard(vm).update(vm, func(s *upstreamStats) {
		source, leaving = s.leaveSource, !s.leavingAt.IsZero() && now.Sub(s.leavingAt) < leavingTTL
	})
	return source, leaving
}

// ObserveReport records a load report that was received outside of a response.
func (p *Picker) ObserveReport(now time.Time, vm string, r LoadReport) {
	p.stats.shard(vm).update(vm, func(s *upstreamStats) {
		s.lastUsed = now
		s.observeReport(now, r)
	})
}

// ObserveHealth records the result of a health check of an upstream. A failed
// check only makes the upstream less preferred, because it may be outdated or
// wrong.
func (p *Picker) ObserveHealth(now time.Time, vm string, healthy bool) {
	p.stats.shard(vm).update(vm, func(s *upstreamStats) {
		s.lastUsed = now
		s.unhealthyAt = time.Time{}
		if !healthy {
			s.unhealthyAt = now
		}
	})
}

// Expire drops the statistics of VMs that have no outstanding calls and were
// neither a candidate nor observed since the given time.
func (p *Picker) Expire(since time.Time) { p.stats.expire(since) }

// TrackedVMs returns the number of VMs that have statistics.
func (p *Picker) TrackedVMs() int { return p.stats.size() }
