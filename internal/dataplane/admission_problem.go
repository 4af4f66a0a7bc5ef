package dataplane

import (
	"context"
	"errors"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
)

// admissionProblem returns the problem for a call that admission rejected.
func admissionProblem(err error) *call.Problem {
	var draining *admission.DrainingError
	var late *admission.LateError
	var canceled *admission.CanceledError
	switch {
	case errors.As(err, &draining):
		return call.NewProblem(call.ProblemUpstreamLeaving, call.RanNo, err.Error(), err)
	case errors.As(err, &late) || errors.Is(err, context.DeadlineExceeded):
		return call.NewProblem(call.ProblemDeadline, call.RanNo, err.Error(), err)
	case errors.As(err, &canceled):
		return call.NewProblem(call.ProblemCanceled, call.RanNo, err.Error(), err)
	}
	return call.NewProblem(call.ProblemOverloaded, call.RanNo, err.Error(), err)
}
