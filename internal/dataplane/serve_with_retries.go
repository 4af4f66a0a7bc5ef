package dataplane

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// serveWithRetries sends a call to one upstream after another, through the nodes
// beside them, until one responds or no further attempt is allowed.
func (s *Server) serveWithRetries(x *exchange) error {
	tried := map[string]bool{}
	policy, _ := x.snap.Document.RetryPolicy(x.call.Route.Retry)
	s.retrier.RecordFirstAttempt(time.Now(), x.call, policy)
	var failed *call.Problem
	for n := 1; ; n++ {
		d, err := s.pickUpstream(x, tried)
		if err != nil {
			if failed != nil {
				return failed
			}
			return err
		}
		err = s.sendAttempt(x, d)
		var p *call.Problem
		if !errors.As(err, &p) {
			return err
		}
		failed = mergeProblems(failed, p)
		tried[d.Member.VM] = true
		if !s.waitForRetry(x, FailedAttempt{Call: x.call, Policy: policy, Number: n, Problem: p}, d.Member.VM) {
			return failed
		}
	}
}

// waitForRetry reports whether to retry a failed attempt, after waiting for the
// backoff. It returns false if the response has begun, the retrier does not allow
// the retry, the body cannot be sent again or the call is cancelled meanwhile.
func (s *Server) waitForRetry(x *exchange, a FailedAttempt, vm string) bool {
	if x.responseStarted {
		return false
	}
	d := s.retrier.Decide(time.Now(), a)
	s.cfg.Decisions.Record("call-retry-decided", "route", x.call.Route.Name, "rank", x.call.Rank.Name, "vm", vm, "retry", d.Retry,
		"reason", d.Reason, "attempt", a.Number, "type", a.Problem.Type, "ran", a.Problem.Ran, "detail", a.Problem.Detail)
	if !d.Retry || !x.body.Rewind() {
		return false
	}
	x.isRetry = true
	return x.wait(d.Delay)
}

// mergeProblems returns the problem to report after several failed attempts. If
// an earlier attempt may have run, the call may have run.
func mergeProblems(earlier, last *call.Problem) *call.Problem {
	if earlier == nil || earlier.Ran != call.RanUnknown || last.Ran != call.RanNo {
		return last
	}
	p := *last
	p.Ran = call.RanUnknown
	return &p
}

// pickUpstream chooses an upstream that has not been tried. Before the first
// attempt it waits briefly if there is none, because the view of the fleet lags
// behind the member table: a node that has just joined would otherwise reject
// calls.
func (s *Server) pickUpstream(x *exchange, tried map[string]bool) (routing.Decision, error) {
	service, ok := x.snap.Document.Service(x.call.Route.Service)
	s.cfg.Invariants.Check(ok, "route-service", "route %s refers to unknown service %s", x.call.Route.Name, x.call.Route.Service)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for n := 1; ; n++ {
		now := time.Now()
		d, err := s.picker.Pick(now, routing.Query{
			View: s.control.Table().View(now), Self: s.control.Self(), Service: service.Selector, Exclude: tried,
			AllowedRegions: x.call.Route.AllowedRegions,
			Order:          x.call.Rank.Order, Worth: x.call.Rank.Worth, Deadline: x.call.Deadline,
			Target: time.Duration(x.call.Rank.TargetMs) * time.Millisecond, Rand: rng,
		})
		if err == nil {
			return d, nil
		}
		problem := call.NewProblem(call.ProblemNoUpstream, call.RanNo, err.Error(), err)
		if len(tried) > 0 || n > maxViewRefreshWaits {
			return d, problem
		}
		s.cfg.Decisions.Record("upstream-awaited", "route", x.call.Route.Name, "service", service.Name, "attempt", n)
		if !x.waitForViewRefresh() {
			return d, problem
		}
	}
}

// sendAttempt logs the routing decision and sends one attempt to the upstream.
func (s *Server) sendAttempt(x *exchange, d routing.Decision) error {
	s.cfg.Decisions.Record("call-routed", "route", x.call.Route.Name, "rank", x.call.Rank.Name, "vm", d.Member.VM,
		"scope", d.Scope, "reason", d.Reason, "candidates", d.Candidates, "version", x.snap.ID.Version)
	return s.observeAttempt(x, d.Member, func() error { return s.sendTo(x, d.Member) })
}

// observeAttempt runs one attempt at an upstream and reports the outcome to
// routing.
func (s *Server) observeAttempt(x *exchange, to member.Member, send func() error) error {
	start := time.Now()
	s.picker.Start(start, to)
	x.loadReport = nil
	err := send()
	now := time.Now()
	s.picker.Finish(now, to, routing.Result{
		Outcome: outcomeOf(err), Order: x.call.Rank.Order, Latency: now.Sub(start), Report: x.loadReport,
	})
	s.expireObservations(now)
	return err
}

// expireObservations drops the observations of upstreams that are no longer
// used, at most once per observationTTL.
func (s *Server) expireObservations(now time.Time) {
	last := s.lastExpiryNs.Load()
	if now.UnixNano()-last >= int64(observationTTL) && s.lastExpiryNs.CompareAndSwap(last, now.UnixNano()) {
		s.picker.Expire(now.Add(-observationTTL))
	}
}

// sendTo serves the call locally if the upstream is this node's own, and forwards
// it otherwise.
func (s *Server) sendTo(x *exchange, to member.Member) error {
	if to.VM == s.control.Self().VM {
		err := s.serveLocal(x)
		x.loadReport = s.loadReport()
		return err
	}
	return s.forward(x, to)
}
