package dataplane

import (
	"errors"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/quarantine"
)

// guardedCall is a call that a crashGuard has admitted. It is not safe for
// concurrent use.
type guardedCall struct {
	guard       *crashGuard
	route       string
	fingerprint quarantine.Fingerprint
	// suspect is set if the call holds the guard's suspect slot.
	suspect bool
	run     *quarantine.InFlightRequest
}

// begin checks the quarantine again, since the call may have waited for a slot,
// and marks the call as running. If the request has become a suspect meanwhile and
// another suspect is running, begin rejects the call without waiting. Errors are
// of type *call.Problem.
func (c *guardedCall) begin() error {
	switch c.guard.table.State(time.Now(), c.fingerprint) {
	case quarantine.StateQuarantined:
		return c.reject()
	case quarantine.StateSuspect:
		if c.suspect {
			break
		}
		select {
		case c.guard.suspectSlot <- struct{}{}:
			c.suspect = true
		default:
			return call.NewProblem(call.ProblemOverloaded, call.RanNo, "another request suspected of crashing upstreams is running", nil)
		}
	}
	c.run = c.guard.runs.Begin(c.fingerprint, c.suspect)
	return nil
}

// finish updates the quarantine from the outcome of the call and returns the
// outcome. If the upstream crashed, it waits until the crash has been reported.
func (c *guardedCall) finish(outcome error) error {
	var p *call.Problem
	switch {
	case outcome == nil:
		if c.guard.table.RecordSuccess(c.fingerprint) {
			c.guard.cfg.Decisions.Record("suspect-cleared", "route", c.route)
		}
	case errors.As(outcome, &p) && p.Type == call.ProblemUpstreamFailed && p.Ran == call.RanUnknown:
		crash, first := c.guard.runs.RecordBrokenConnection(c.run)
		if first {
			c.guard.reportCrash(crash)
		}
		<-crash.Reported
	}
	return outcome
}

// release removes the call from the running calls and frees the suspect slot.
func (c *guardedCall) release() {
	if c.run != nil {
		c.guard.runs.End(c.run)
	}
	if c.suspect {
		<-c.guard.suspectSlot
	}
}

// reject logs that the request is quarantined and returns the problem.
func (c *guardedCall) reject() error {
	c.guard.cfg.Decisions.Record("call-quarantined", "route", c.route)
	return call.NewProblem(call.ProblemQuarantined, call.RanNo, "", nil)
}
