package dataplane

import (
	"errors"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// outcomeOf returns what a call's end says about the upstream it was sent to.
func outcomeOf(err error) routing.Outcome {
	var p *call.Problem
	if !errors.As(err, &p) {
		return routing.OutcomeAnswered
	}
	switch p.Type {
	case call.ProblemCancelled:
		return routing.OutcomeCanceled
	case call.ProblemDeadline:
		return routing.OutcomeSilent
	case call.ProblemUpstreamLeaving:
		return routing.OutcomeLeaving
	case call.ProblemUpstreamFailed, call.ProblemTargetMismatched, call.ProblemOutcomeUnknown:
		return routing.OutcomeFailed
	}
	return routing.OutcomeRefused
}
