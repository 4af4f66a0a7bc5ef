package dataplane

import (
	"errors"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/responsehead"
)

// guardedCall is a call that a crashGuard has admitted. It is not safe for
// concurrent use.
type guardedCall struct {
	*quarantine.Admission
	guard *crashGuard
	route string
}

// begin marks the call as running. Errors are of type *call.Problem.
func (c *guardedCall) begin() error {
	if err := c.Begin(); err != nil {
		return c.guard.problem(c.route, err)
	}
	return nil
}

// finish updates the quarantine from the outcome of the call and returns the
// outcome. If the upstream crashed, it waits until the crash has been reported.
func (c *guardedCall) finish(outcome error) error {
	var p *call.Problem
	switch {
	case outcome == nil:
		if c.RecordSuccess() {
			c.guard.cfg.Decisions.Record("suspect-cleared", "route", c.route)
		}
	case responsehead.IsInvalid(outcome):
		// The upstream responded, so it has not crashed.
	case errors.As(outcome, &p) && p.Type == call.ProblemUpstreamFailed && p.Ran == call.RanUnknown:
		crash, first := c.RecordCrash()
		if first {
			c.guard.reportCrash(crash)
		}
		<-crash.Reported
	}
	return outcome
}
