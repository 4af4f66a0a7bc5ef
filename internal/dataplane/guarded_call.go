package dataplane

import (
	"errors"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/quarantine"
)

// guardedCall is one call that a crashGuard has admitted. It belongs to one
// goroutine.
type guardedCall struct {
	guard       *crashGuard
	route       string
	fingerprint quarantine.Fingerprint
	suspect     bool
	run         *quarantine.Run
}

// begin checks the call again, since it may have waited for a slot, and marks
// it as running. It returns a *call.Problem.
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
			return call.NewProblem(call.ProblemOverloaded, call.RanNo, "another suspect of a crash runs", nil)
		}
	}
	c.run = c.guard.runs.Begin(c.fingerprint, c.suspect)
	return nil
}

// finish judges the outcome of the call and returns it. If the upstream crashed it
// returns when the crash has been reported.
func (c *guardedCall) finish(outcome error) error {
	var p *call.Problem
	switch {
	case outcome == nil:
		if c.guard.table.Succeeded(c.fingerprint) {
			c.guard.cfg.Decisions.Line("suspect-cleared", "route", c.route)
		}
	case errors.As(outcome, &p) && p.Type == call.ProblemUpstreamFailed && p.Ran == call.RanUnknown:
		crash, first := c.guard.runs.Broke(c.run)
		if first {
			c.guard.reportCrash(crash)
		}
		<-crash.Reported
	}
	return outcome
}

// release ends the stay.
func (c *guardedCall) release() {
	if c.run != nil {
		c.guard.runs.End(c.run)
	}
	if c.suspect {
		<-c.guard.suspectSlot
	}
}

func (c *guardedCall) reject() error {
	c.guard.cfg.Decisions.Line("call-quarantined", "route", c.route)
	return call.NewProblem(call.ProblemQuarantined, call.RanNo, "", nil)
}
