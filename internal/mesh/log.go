package mesh

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/placement"
)

// logCall logs the outcome of a call at the caller's node.
func (s *Server) logCall(q *request, res *result, outcome string, attempts int) {
	if !s.cfg.Log.IsInfo() {
		return
	}
	fields := []any{"id", q.id, "outcome", outcome, "status", callerStatus(res), "attempts", attempts, "ms", time.Since(q.arrived).Milliseconds()}
	if q.route != nil {
		fields = append(fields, "route", q.route.Name, "rank", q.rank.Name, "service", q.service.Name, "allowed_ms", q.deadline.Sub(q.arrived).Milliseconds())
	}
	if res.reason != ReasonNone {
		fields = append(fields, "reason", string(res.reason), "detail", res.detail)
	}
	if snap := s.cfg.Store.Current(); snap != nil {
		fields = append(fields, "version", snap.ID.Version)
	}
	fields = append(fields, "revision", s.cfg.Revision().String())
	s.cfg.Log.Info("call", fields...)
}

// logAttempt logs an attempt with its placement decision. A first attempt that
// was answered is only logged if debug logging is enabled.
func (s *Server) logAttempt(q *request, choice placement.Choice, res *result, total time.Duration) {
	if !s.cfg.Log.IsInfo() || res.kind == ResultAnswered && !q.retrying && !s.cfg.Log.IsDebug() {
		return
	}
	s.cfg.Log.Info("attempt", "id", q.id, "service", choice.Instance.Service, "instance", choice.Instance.ID,
		"zone", choice.Instance.Zone, "state", choice.Instance.State.String(), "candidates", choice.Candidates,
		"last_resort", choice.LastResort, "expected_ms", choice.Expected.Milliseconds(), "ms", total.Milliseconds(),
		"result", res.kind.String(), "reason", string(res.reason), "detail", res.detail, "wait_ms", res.expectedWait.Milliseconds())
}

// logAdmission logs a call from another node. A call that was answered is only
// logged if debug logging is enabled.
func (s *Server) logAdmission(q *request, res *result) {
	if !s.cfg.Log.IsInfo() || res.kind == ResultAnswered && !s.cfg.Log.IsDebug() {
		return
	}
	s.cfg.Log.Info("admission", "id", q.id, "rank", q.rank.Name, "result", res.kind.String(), "reason", string(res.reason),
		"detail", res.detail, "left_ms", time.Until(q.deadline).Milliseconds(), "running", res.load.Running, "waiting", res.load.Waiting)
}
