package dataplane

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
)

// attemptLimit is a Retrier that bounds the attempts of each call by itself.
type attemptLimit struct{ max int }

// Again implements Retrier.
func (l attemptLimit) Again(now time.Time, a Attempt) bool {
	if a.Number >= l.max || !now.Before(a.Call.Deadline) {
		return false
	}
	if a.Problem.Ran == call.RanNo {
		return refusedByUpstream[a.Problem.Type]
	}
	// A nested call that may have run is left to the outermost call, so that
	// attempts do not multiply over the levels of a call tree.
	return a.Problem.Ran == call.RanUnknown && a.Problem.Type == call.ProblemUpstreamFailed &&
		a.Call.Route.Idempotent && a.Call.Depth == 0
}

// refusedByUpstream holds the problems that another upstream may not have.
var refusedByUpstream = map[call.ProblemType]bool{
	call.ProblemNotReady: true, call.ProblemConfigBehind: true, call.ProblemOverloaded: true,
	call.ProblemUpstreamFailed: true, call.ProblemLeaving: true, call.ProblemTargetMismatched: true,
}
