package dataplane

import (
	"errors"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// outcomeOf maps the error of an attempt to the outcome that routing records for
// the upstream.
func outcomeOf(err error) routing.Outcome {
	var p *call.Problem
	if !errors.As(err, &p) {
		return routing.OutcomeCompleted
	}
	switch p.Type {
	case call.ProblemCanceled:
		return routing.OutcomeCanceled
	case call.ProblemDeadline:
		return routing.OutcomeNoResponse
	case call.ProblemUpstreamLeaving:
		return routing.OutcomeLeaving
	case call.ProblemUpstreamFailed, call.ProblemTargetMismatch, call.ProblemOutcomeUnknown:
		return routing.OutcomeFailed
	}
	return routing.OutcomeRefused
}
