package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/instance"
)

// runLocal admits a call to the upstream beside this node and runs it. The
// upstream's slots and its draining state are enforced here, since senders may
// have outdated data about them.
func (s *Server) runLocal(ctx context.Context, q *request, targetID string) *result {
	arrived := time.Now()
	res := s.admitAndRun(ctx, q, targetID)
	res.nodeTime = time.Since(arrived)
	res.load = s.load()
	s.cfg.Metrics.Admissions.WithLabelValues(res.kind.String(), string(res.reason)).Inc()
	return res
}

// admitAndRun waits for a slot and sends the call to the upstream unless it crashes
// upstreams.
func (s *Server) admitAndRun(ctx context.Context, q *request, targetID string) *result {
	self, res := s.localInstance(targetID)
	if res != nil {
		return res
	}
	s.updateLimits(self)
	admission, res := s.crashGuard.admit(ctx, q)
	if res != nil {
		return res
	}
	defer admission.Release()
	release, err := s.limiter.Acquire(ctx, &call.Call{
		Route: q.route, Rank: q.rank, Deadline: q.deadline, SoftDeadline: q.due, Caller: q.caller,
	})
	if err != nil {
		s.observeCanceled(q, err)
		return s.refusalResult(err, q)
	}
	defer release()
	// The upstream may have left while the call waited.
	if self, res = s.localInstance(targetID); res != nil {
		return res
	}
	start := time.Now()
	if left := q.deadline.Sub(start); left < time.Millisecond {
		return notRun(ReasonDeadline, "the deadline passed while the call waited for a slot")
	}
	if !s.misdirected.Admits(start, self) {
		return misdirected(targetID)
	}
	if res = s.crashGuard.begin(ctx, admission); res != nil {
		return res
	}
	res = s.sendToUpstream(ctx, q, self)
	res.runTime = time.Since(start)
	s.crashGuard.observe(admission, res)
	switch {
	case res.reason == ReasonOtherInstance:
		s.misdirected.Record(time.Now(), self)
	case res.kind == ResultAnswered:
		s.misdirected.Clear(self)
	}
	return res
}

// localInstance returns the instance of the upstream beside this node if it is
// the target and accepts calls, otherwise the result that refuses the call.
func (s *Server) localInstance(targetID string) (*instance.Instance, *result) {
	now := time.Now()
	self := s.cfg.Directory.ByAddr(now, s.cfg.Service, s.cfg.UpstreamAddr)
	switch {
	case self == nil || self.ID != targetID:
		return nil, notRun(ReasonTargetGone, targetID)
	case self.Evacuated:
		return nil, evacuated("the zone of " + targetID + " is evacuated")
	case !self.Serves(now):
		return nil, notRun(ReasonLeaving, targetID)
	case now.UnixNano() < s.downUntil.Load():
		return nil, notRun(ReasonUnreachable, "a recent attempt to connect to the upstream failed")
	case s.misdirected.Blocks(now, self):
		return nil, misdirected(targetID)
	}
	return self, nil
}

// misdirected refuses a call to an instance that the upstream refused to be.
func misdirected(targetID string) *result {
	return notRun(ReasonOtherInstance, "the upstream refused an earlier call to "+targetID)
}

// updateLimits applies the slots that the upstream announces, the limit that it
// names or that holds while it is cold, and the ranks and the connection limit of the
// current configuration version.
func (s *Server) updateLimits(self *instance.Instance) {
	snap := s.cfg.Store.Current()
	if snap == nil {
		return
	}
	service, ok := snap.Document.Service(s.cfg.Service)
	limits := admission.Limits{Slots: self.Slots, Ranks: snap.Document.Ranks(), CallsPerSecond: s.callsPerSecond(self, service)}
	if ok {
		limits.Connections = service.Connections
	}
	s.limiter.SetLimits(limits)
}

// refusalResult converts an error of the limiter into a result.
func (s *Server) refusalResult(err error, q *request) *result {
	var late *admission.LateError
	var draining *admission.DrainingError
	var canceled *admission.CanceledError
	switch {
	case errors.As(err, &canceled):
		return notRun(ReasonCallerLeft, err.Error())
	case errors.As(err, &draining):
		return notRun(ReasonLeaving, err.Error())
	case errors.As(err, &late):
		res := notRun(ReasonTooLate, err.Error())
		res.expectedWait = late.Lateness
		if !time.Now().Before(q.deadline) {
			res.reason = ReasonDeadline
		}
		return res
	}
	res := notRun(ReasonOverloaded, err.Error())
	res.expectedWait = minRetryAfter
	return res
}
