package dataplane

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// serveEntry sends a call to the nodes beside its upstreams, one after another,
// until one answers or no other attempt is allowed.
func (s *Server) serveEntry(x *exchange) error {
	tried := map[string]bool{}
	var failed *call.Problem
	for n := 1; ; n++ {
		d, err := s.pick(x, tried)
		if err != nil {
			if failed != nil {
				return failed
			}
			return err
		}
		err = s.attempt(x, d)
		var p *call.Problem
		if !errors.As(err, &p) {
			return err
		}
		failed = afterAttempts(failed, p)
		if x.started || !s.retrier.Again(time.Now(), Attempt{Call: x.call, Number: n, Problem: p}) || !x.body.Rewind() {
			return failed
		}
		tried[d.Member.VM] = true
		s.cfg.Decisions.Line("call-retried", "route", x.call.Route.Name, "rank", x.call.Rank.Name, "vm", d.Member.VM,
			"attempt", n, "type", p.Type, "ran", p.Ran, "detail", p.Detail)
	}
}

// afterAttempts returns the outcome of a call after its last attempt. A call of
// which one attempt may have run was not certainly not run.
func afterAttempts(earlier, last *call.Problem) *call.Problem {
	if earlier == nil || earlier.Ran != call.RanUnknown || last.Ran != call.RanNo {
		return last
	}
	p := *last
	p.Ran = call.RanUnknown
	return &p
}

// pick chooses an upstream that was not tried. If none is known at all it waits
// for a short time, because the view of the fleet lags behind the table: a node
// that has just joined would refuse calls otherwise.
func (s *Server) pick(x *exchange, tried map[string]bool) (routing.Decision, error) {
	service, ok := x.snap.Document.Service(x.call.Route.Service)
	s.cfg.Invariants.Check(ok, "route-service", "route %s points at unknown service %s", x.call.Route.Name, x.call.Route.Service)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for n := 1; ; n++ {
		d, err := s.picker.Pick(s.control.Table().View(time.Now()), s.control.Self(), service.Selector, tried, rng)
		if err == nil {
			return d, nil
		}
		problem := call.NewProblem(call.ProblemNoUpstream, call.RanNo, err.Error(), err)
		if len(tried) > 0 || n > viewWaits {
			return d, problem
		}
		s.cfg.Decisions.Line("upstream-awaited", "route", x.call.Route.Name, "service", service.Name, "attempt", n)
		timer := time.NewTimer(viewWait)
		select {
		case <-timer.C:
		case <-x.base.Done():
			timer.Stop()
			return d, problem
		}
	}
}

func (s *Server) attempt(x *exchange, d routing.Decision) error {
	s.cfg.Decisions.Line("call-routed", "route", x.call.Route.Name, "rank", x.call.Rank.Name, "vm", d.Member.VM,
		"scope", d.Scope, "candidates", d.Candidates, "version", x.snap.ID.Version)
	if d.Member.VM == s.control.Self().VM {
		return s.serveLocal(x)
	}
	return s.forward(x, d.Member)
}
