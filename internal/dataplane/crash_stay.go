package dataplane

import (
	"errors"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/quarantine"
)

// crashStay is one call that a crashGuard has admitted. It belongs to one
// goroutine.
type crashStay struct {
	guard       *crashGuard
	route       string
	fingerprint quarantine.Fingerprint
	suspect     bool
	run         *quarantine.InFlightRequest
}

// begin checks the call again, since it may have waited for a slot, and marks
// it as running. It returns a *call.Problem.
func (s *crashStay) begin() error {
	switch s.guard.table.State(time.Now(), s.fingerprint) {
	case quarantine.StateQuarantined:
		return s.rejected()
	case quarantine.StateSuspect:
		if s.suspect {
			break
		}
		select {
		case s.guard.alone <- struct{}{}:
			s.suspect = true
		default:
			return call.NewProblem(call.ProblemOverloaded, call.RanNo, "another suspect of a crash runs", nil)
		}
	}
	s.run = s.guard.runs.Begin(s.fingerprint, s.suspect)
	return nil
}

// end judges the outcome of the call and returns it. If the upstream crashed it
// returns when the crash has been reported.
func (s *crashStay) end(outcome error) error {
	var p *call.Problem
	switch {
	case outcome == nil:
		if s.guard.table.RecordSuccess(s.fingerprint) {
			s.guard.cfg.Decisions.Line("suspect-cleared", "route", s.route)
		}
	case errors.As(outcome, &p) && p.Type == call.ProblemUpstreamFailed && p.Ran == call.RanUnknown:
		crash, first := s.guard.runs.ConnectionBroke(s.run)
		if first {
			s.guard.report(crash)
		}
		<-crash.Reported
	}
	return outcome
}

// leave ends the stay.
func (s *crashStay) leave() {
	if s.run != nil {
		s.guard.runs.End(s.run)
	}
	if s.suspect {
		<-s.guard.alone
	}
}

func (s *crashStay) rejected() error {
	s.guard.cfg.Decisions.Line("call-quarantined", "route", s.route)
	return call.NewProblem(call.ProblemQuarantined, call.RanNo, "", nil)
}
