package dataplane

import (
	"errors"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
)

// finish records the outcome and duration of a call. After a failure it writes the
// problem, or aborts the connection if the response has begun.
func (s *Server) finish(start time.Time, w http.ResponseWriter, x *exchange, err error) {
	route, rank := "", ""
	if x.call != nil {
		route = x.call.Route.Name
		if x.call.Rank != nil {
			rank = x.call.Rank.Name
		}
	}
	outcome := "served"
	var problem *call.Problem
	if errors.As(err, &problem) {
		outcome = string(problem.Type)
	}
	s.cfg.Metrics.Calls.WithLabelValues(route, rank, outcome).Inc()
	s.cfg.Metrics.CallSeconds.WithLabelValues(rank).Observe(time.Since(start).Seconds())
	if problem == nil {
		return
	}
	if problem.Ran == call.RanNo && x.otherCopyMayHaveRun() {
		p := *problem
		p.Ran, problem = call.RanUnknown, &p
	}
	s.cfg.Decisions.Record("call-failed", "route", route, "rank", rank, "type", problem.Type, "ran", problem.Ran, "detail", problem.Detail)
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	if snap := s.control.Store().Current(); snap != nil {
		w.Header().Set(call.HeaderVersion, snap.ID.String())
	}
	problem.Write(w)
}
