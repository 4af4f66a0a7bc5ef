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

// Entry returns the handler for the callers on the VM.
func (s *Server) Entry() http.Handler { return http.HandlerFunc(s.serveEntry) }

func (s *Server) serveEntry(w http.ResponseWriter, r *http.Request) {
	q, refused := s.read(w, r)
	if refused != nil {
		s.finishEntry(r.Context(), w, q, refused, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	res, attempts := s.serveUntilAbandoned(ctx, cancel, q)
	defer res.close()
	s.finishEntry(r.Context(), w, q, res, attempts)
}

// serveUntilAbandoned serves a call unless the node stops waiting for it, which
// ends the call's context.
func (s *Server) serveUntilAbandoned(ctx context.Context, cancel func(), q *request) (*result, int) {
	stop := context.AfterFunc(s.abandoned, cancel)
	defer stop()
	res, attempts := s.serveReserved(ctx, q)
	if res.reason == ReasonCallerLeft && s.abandoned.Err() != nil {
		res.reason = ReasonLeaving
	}
	return res, attempts
}

// serveReserved serves a call if the VM's link can carry its answer in time.
func (s *Server) serveReserved(ctx context.Context, q *request) (*result, int) {
	q.answerBytes = s.sizes.Get(q.route.Name)
	transfer, refused := s.reserveLink(q, s.chooser.Typical(q.service.Name, q.rank.Order))
	if refused != nil {
		return refused, 0
	}
	res, attempts := s.serve(ctx, q)
	res.transfer = transfer
	return res, attempts
}

// serve offers a call to instances, one after another, until one answers or no
// other attempt is allowed. It returns the last result and the number of
// attempts.
func (s *Server) serve(ctx context.Context, q *request) (*result, int) {
	policy, _ := s.cfg.Store.Current().Document.RetryPolicy(q.route.Retry)
	s.budgets.RecordFirstAttempt(q.arrived, q.service.Name, policy, 0, false)
	var tried []string
	var last *result
	ran := 0
	for hop := 1; hop <= maxHops; hop++ {
		choice, ok := s.chooser.Choose(time.Now(), placement.Query{
			Candidates: s.cfg.Directory.Service(q.service.Selector), Zone: s.cfg.Zone, Region: s.cfg.Region, LocalAddr: s.cfg.UpstreamAddr,
			Order: q.rank.Order, Target: time.Until(q.due), Bytes: s.sizes.Get(q.route.Name), Exclude: tried, Rand: q.rng,
		})
		if !ok {
			if last == nil {
				last = notRun(ReasonNoUpstream, q.service.Name)
			}
			return last, hop - 1
		}
		if choice.LastResort && last.noRoom() {
			return last, hop - 1
		}
		res := s.attempt(ctx, q, choice)
		if last != nil && last.kind == ResultBroken && res.kind == ResultNotRun {
			res.kind = ResultBroken
		}
		last = res
		if res.kind == ResultAnswered {
			return res, hop
		}
		tried = append(tried, choice.Instance.ID)
		if res.kind == ResultBroken || res.reached {
			ran++
		}
		if !s.again(ctx, q, res, policy, ran) {
			return res, hop
		}
		q.retrying = true
	}
	return last, maxHops
}

// again decides whether a call that was not answered gets another attempt.
func (s *Server) again(ctx context.Context, q *request, res *result, policy *config.RetryPolicy, ran int) bool {
	if ctx.Err() != nil || q.rest != nil || time.Until(q.deadline) < minAttempt {
		return false
	}
	outcome := call.RanNo
	if res.kind == ResultBroken {
		outcome = call.RanUnknown
	}
	d := s.budgets.Decide(time.Now(), retry.FailedAttempt{
		Service: q.service.Name, Policy: policy, AttemptsMade: max(ran, 1), Ran: outcome,
		Transparent: res.kind == ResultNotRun && !res.reached,
		RankOrder:   q.rank.Order, Idempotent: q.idempotent(), Replayable: true, Deadline: q.deadline,
	}, q.rng)
	s.cfg.Metrics.Retries.WithLabelValues(q.service.Name, string(d.Reason)).Inc()
	if !d.Retry {
		res.detail += " (no retry: " + string(d.Reason) + ")"
	}
	return d.Retry
}

// attempt sends a call to an instance and tells the chooser how it went.
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
		Kind: outcomeKind(ctx, res), Order: q.rank.Order, Ran: res.ran, Load: res.load, Wait: res.wait,
	})
	if res.lost {
		s.probe(to)
	}
	if !local && res.stayed > 0 {
		s.chooser.ObserveDistance(to.Zone, total-res.stayed)
	}
	if res.kind == ResultAnswered {
		s.sizes.Observe(q.route.Name, len(q.body)+len(res.body))
	}
	s.cfg.Metrics.Attempts.WithLabelValues(to.Service, res.kind.String(), string(res.reason)).Inc()
	s.logAttempt(q, choice, res, total)
	return res
}

// probe connects to the node beside an instance until it is back. An instance
// that has left is forgotten as lost, since it may come back under its id.
func (s *Server) probe(to *instance.Instance) {
	host, _, err := net.SplitHostPort(to.Addr)
	if err != nil {
		return
	}
	s.prober.start(s.background, to.ID, net.JoinHostPort(host, s.cfg.PeerPort),
		func() bool { return s.cfg.Directory.Get(to.ID) != nil },
		func() { s.chooser.Recovered(time.Now(), to) })
}

// outcomeKind tells the chooser what a result says about the instance.
func outcomeKind(ctx context.Context, res *result) placement.Kind {
	switch {
	case res.lost:
		return placement.Lost
	case res.kind == ResultAnswered && res.status >= http.StatusInternalServerError:
		return placement.FailedAnswer
	case res.kind == ResultAnswered:
		return placement.Answered
	case ctx.Err() == context.Canceled:
		return placement.Canceled
	case res.kind == ResultBroken:
		return placement.Broken
	}
	switch res.reason {
	case ReasonShed:
		return placement.Shed
	case ReasonLink:
		return placement.LinkBusy
	case ReasonOverloaded, ReasonLate, ReasonDeadline:
		return placement.Refused
	}
	return placement.Unreachable
}
