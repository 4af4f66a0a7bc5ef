package mesh

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/retry"
)

// CallerHandler returns the handler for calls from callers on the VM.
func (s *Server) CallerHandler() http.Handler { return http.HandlerFunc(s.serveCaller) }

func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	q, refused := s.readCallerRequest(r)
	if refused != nil {
		s.respondToCaller(r.Context(), w, q, refused, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	watch := q.streamTail(w, cancel)
	attempts := 0
	res := s.untilCanceled(cancel, func() (res *result) {
		res, attempts = s.serveReserved(ctx, q)
		return res
	})
	defer res.close()
	watch.Stop()
	s.respondToCaller(r.Context(), w, q, res, attempts)
}

// untilCanceled runs serve, which CancelCalls cancels by calling cancel. It has no
// effect after serve has returned, so that responses that are being sent continue. A
// call that was canceled this way ends with ReasonLeaving; it otherwise looks as if
// its caller had left.
func (s *Server) untilCanceled(cancel func(), serve func() *result) *result {
	stop := context.AfterFunc(s.callsCanceled, cancel)
	defer stop()
	res := serve()
	if res.reason == ReasonCallerLeft && s.callsCanceled.Err() != nil {
		res.reason = ReasonLeaving
	}
	return res
}

// serveReserved reserves bandwidth for the response on the VM's link and serves
// the call, or refuses it if the link cannot send the response in time.
func (s *Server) serveReserved(ctx context.Context, q *request) (*result, int) {
	q.responseBytes = s.routeSizes.Get(q.route.Name)
	transfer, refused := s.reserveLink(q, s.chooser.ServiceTime(q.service.Name, q.rank.Order))
	if refused != nil {
		return refused, 0
	}
	res, attempts := s.serve(ctx, q)
	res.transfer = transfer
	return res, attempts
}

// serve sends a call to instances, one after another, until one answers or no
// further attempt is allowed. It returns the last result and the number of
// attempts.
func (s *Server) serve(ctx context.Context, q *request) (*result, int) {
	policy, _ := s.cfg.Store.Current().Document.RetryPolicy(q.route.Retry)
	s.budgets.RecordFirstAttempt(q.arrived, q.service.Name, policy, 0, false)
	var tried []string
	var last *result
	reached := 0
	for attempt := 1; attempt <= maxAttemptsPerCall; attempt++ {
		now := time.Now()
		query := placement.Query{
			Candidates: s.cfg.Directory.Service(q.service.Selector), Zone: s.cfg.Zone, Region: s.cfg.Region, LocalAddr: s.cfg.UpstreamAddr,
			AllowedRegions: s.currentRegions(q), ColdCallsPerSecond: q.service.ColdCallsPerSecond,
			Order: q.rank.Order, Target: q.due.Sub(now), RequestBytes: len(q.body), ResponseBytes: q.responseBytes, Exclude: tried, Rand: q.rng,
		}
		choice, ok := s.chooser.Choose(now, query)
		if !ok {
			if last == nil {
				last = noUpstream(now, q, &query)
			}
			return last, attempt - 1
		}
		if choice.LastResort && last.refusedAsBusy() {
			return last, attempt - 1
		}
		res := s.attempt(ctx, q, choice)
		// After an earlier attempt that may have run, the call cannot be reported
		// as not run.
		if last != nil && last.kind == ResultBroken && res.kind == ResultNotRun {
			res.kind = ResultBroken
		}
		last = res
		if res.kind == ResultAnswered {
			return res, attempt
		}
		tried = append(tried, choice.Instance.ID)
		if res.kind == ResultBroken || res.reachedUpstream {
			reached++
		}
		if !s.shouldRetry(ctx, q, res, policy, reached) {
			return res, attempt
		}
		q.retrying = true
	}
	return last, maxAttemptsPerCall
}

// shouldRetry decides whether a call that was not answered gets another
// attempt. reached is the number of attempts that may have reached an upstream.
func (s *Server) shouldRetry(ctx context.Context, q *request, res *result, policy *config.RetryPolicy, reached int) bool {
	// The other nodes of the service would refuse a quarantined call too.
	if res.reason == ReasonQuarantined || ctx.Err() != nil || q.caller.Closed() || q.bodyTail != nil || time.Until(q.deadline) < minAttemptTime {
		return false
	}
	outcome := call.RanNo
	if res.kind == ResultBroken {
		outcome = call.RanUnknown
	}
	d := s.budgets.Decide(time.Now(), retry.FailedAttempt{
		Service: q.service.Name, Policy: policy, AttemptsMade: max(reached, 1), Ran: outcome,
		Transparent: res.kind == ResultNotRun && !res.reachedUpstream,
		RankOrder:   q.rank.Order, Idempotent: q.idempotent(), Replayable: true, Deadline: q.deadline,
	}, q.rng)
	s.cfg.Metrics.Retries.WithLabelValues(q.service.Name, string(d.Reason)).Inc()
	if !d.Retry {
		res.detail += " (no retry: " + string(d.Reason) + ")"
	}
	return d.Retry
}

// attempt sends a call to one instance, reports the outcome to the chooser and
// starts a probe if the node beside the instance is lost.
func (s *Server) attempt(ctx context.Context, q *request, choice placement.Choice) *result {
	start := time.Now()
	to := choice.Instance
	s.chooser.Start(start, to)
	var res *result
	local := to.Addr == s.cfg.UpstreamAddr && to.Service == s.cfg.Service
	if local {
		res = s.runLocal(ctx, q, to.ID)
	} else {
		res = s.forward(ctx, q, to)
	}
	total := time.Since(start)
	s.chooser.Finish(time.Now(), to, placement.Outcome{
		Kind: outcomeKind(ctx, res), Order: q.rank.Order, ServiceTime: res.runTime, Load: res.load, BusyFor: res.expectedWait,
	})
	if res.nodeLost {
		s.probe(to)
	}
	if !local && res.nodeTime > 0 {
		s.chooser.ObserveRoundTrip(to.Zone, total-res.nodeTime)
	}
	if res.kind == ResultAnswered {
		s.routeSizes.Observe(q.route.Name, len(res.body))
		s.observeLeaving(to, res.header)
	}
	s.cfg.Metrics.Attempts.WithLabelValues(to.Service, res.kind.String(), string(res.reason)).Inc()
	s.logAttempt(q, choice, res, total)
	return res
}

// probe starts a background probe of the node beside a lost instance. Once the
// node is reachable, the instance is reported to the chooser as recovered. So
// is an instance that the directory removes first, since it may return with the
// same id.
func (s *Server) probe(to *instance.Instance) {
	host, _, err := net.SplitHostPort(to.Addr)
	if err != nil {
		return
	}
	s.prober.Start(s.background, to.ID, net.JoinHostPort(host, s.cfg.PeerPort),
		func() bool { return s.cfg.Directory.Get(to.ID) != nil },
		func() { s.chooser.ObserveRecovery(time.Now(), to) })
}

// outcomeKind maps a result to the outcome that the chooser records for the
// instance.
func outcomeKind(ctx context.Context, res *result) placement.OutcomeKind {
	switch {
	case res.nodeLost:
		return placement.NodeDown
	case res.kind == ResultAnswered && res.status >= http.StatusInternalServerError:
		return placement.ErrorResponse
	case res.kind == ResultAnswered:
		return placement.Completed
	case ctx.Err() == context.Canceled, res.reason == ReasonCallerLeft:
		return placement.Canceled
	case res.kind == ResultBroken:
		return placement.ConnectionBroken
	}
	switch res.reason {
	case ReasonQuarantined, ReasonSuspectRunning, ReasonRegionForbidden:
		// It says nothing about the instance either.
		return placement.Canceled
	case ReasonShed:
		return placement.Shed
	case ReasonLinkBusy:
		return placement.LinkBusy
	case ReasonOverloaded, ReasonTooLate, ReasonDeadline, ReasonNoMemory, ReasonEvacuated:
		return placement.Refused
	}
	return placement.Unreachable
}
