package dataplane

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/once"
)

// serveKeyed serves a call of a route that is not idempotent. Only the owner
// named in its key may run it; every other node forwards the call to the owner.
func (s *Server) serveKeyed(x *exchange) error {
	key, err := once.ParseKey(x.call.Key)
	if err != nil {
		return call.NewProblem(call.ProblemKeyRequired, call.RanNo, err.Error(), err)
	}
	self := s.control.Self()
	if key.VM == self.VM {
		if key.Boot != self.Boot {
			return s.reportOwnerGone(x, key, "the owner has restarted")
		}
		return s.serveAsOwner(x, key)
	}
	owner, ok := s.findOwner(x, key)
	switch {
	case !ok || owner.Status == member.Dead && owner.Boot == key.Boot:
		return s.reportOwnerGone(x, key, "the owner is unavailable")
	case owner.Boot > key.Boot:
		return s.reportOwnerGone(x, key, "the owner has restarted")
	}
	s.cfg.Decisions.Record("key-forwarded", "route", x.call.Route.Name, "vm", owner.VM)
	return s.observeAttempt(x, owner, func() error { return s.forwardToOwner(x, owner, key) })
}

// findOwner returns the member record of a key's owner. The key's issuer may have
// learned of the owner's process before this node did, so findOwner waits briefly
// for the record of that process. After that it returns the record of an earlier
// process on the same VM, if there is one, because the address is the same.
func (s *Server) findOwner(x *exchange, key once.Key) (member.Member, bool) {
	for n := 0; ; n++ {
		owner, ok := s.control.Table().Get(key.VM)
		if ok && owner.Boot >= key.Boot || n == maxViewRefreshWaits {
			return owner, ok
		}
		if !x.waitForViewRefresh() {
			return owner, ok
		}
	}
}

// reportOwnerGone logs that the process that owns a key is gone and returns the
// problem for the caller.
func (s *Server) reportOwnerGone(x *exchange, key once.Key, detail string) error {
	s.cfg.Decisions.Record("key-owner-gone", "route", x.call.Route.Name, "vm", key.VM, "boot", key.Boot, "detail", detail)
	return call.NewProblem(call.ProblemOutcomeUnknown, call.RanUnknown, detail, nil)
}

// forwardToOwner sends a call to the owner of its key and records whether the
// owner decided the outcome. Only the owner can report the call as not run,
// because another copy may have run (see otherCopyMayHaveRun).
func (s *Server) forwardToOwner(x *exchange, owner member.Member, key once.Key) error {
	ctx, cancel := context.WithDeadline(x.runCtx, x.call.Deadline)
	defer cancel()
	resp, err := s.sendToPeer(ctx, x, owner)
	if err != nil {
		var p *call.Problem
		if errors.As(err, &p) && p.Type == call.ProblemUpstreamFailed {
			return call.NewProblem(call.ProblemOutcomeUnknown, call.RanUnknown, "no response from the owner: "+p.Detail, err)
		}
		return err
	}
	x.loadReport = parseLoadHeader(resp.Header)
	if p := relay.PeerProblem(resp); p != nil {
		x.ownerDecided = resp.Header.Get(call.HeaderOwner) == strconv.FormatUint(key.Boot, 10)
		if p.Type == call.ProblemTargetMismatch {
			return s.reportOwnerGone(x, key, "another node has the owner's address")
		}
		return p
	}
	return s.copyResponse(ctx, x, resp)
}

// serveAsOwner serves a call whose key this process owns.
func (s *Server) serveAsOwner(x *exchange, key once.Key) error {
	now := time.Now()
	if !x.call.Expires.IsZero() && !now.Before(x.call.Expires) {
		return call.NewProblem(call.ProblemDeadline, call.RanNo, "the call arrived after its deadline", nil)
	}
	d := s.keys.Begin(now, key, x.fingerprint())
	s.cfg.Decisions.Record("key-decided", "route", x.call.Route.Name, "action", d.Action.String())
	x.w.Header().Set(call.HeaderOwner, strconv.FormatUint(key.Boot, 10))
	x.ownerDecided = true
	switch d.Action {
	case once.ActionRun:
		return s.executeOwned(x, d.Execution)
	case once.ActionJoin:
		return s.awaitExecution(x, d.Execution)
	case once.ActionReplay:
		return s.replayResult(x, d.Execution.Result())
	case once.ActionFull:
		return call.NewProblem(call.ProblemOverloaded, call.RanNo, "the table of idempotency keys is full", nil)
	case once.ActionMismatch:
		return call.NewProblem(call.ProblemKeyReused, call.RanNo, "", nil)
	default:
		return call.NewProblem(call.ProblemOutcomeUnknown, call.RanUnknown, "the idempotency key has expired", nil)
	}
}

// executeOwned runs the call as the single execution of its key. It continues when
// the caller disconnects, so that a repeated call gets the response instead of an
// unknown outcome.
func (s *Server) executeOwned(x *exchange, e *once.Execution) error {
	result := once.Result{State: once.StateUnknown}
	defer func() {
		s.keys.Finish(time.Now(), e, result)
		s.cfg.Decisions.Record("key-finished", "route", x.call.Route.Name, "state", result.State.String(), "kept", result.Response != nil)
	}()
	rec := &relay.ResponseRecorder{ResponseWriter: x.w}
	x.w, x.runCtx = rec, context.WithoutCancel(x.runCtx)
	err := s.serveLocal(x)
	var p *call.Problem
	switch {
	case err == nil:
		result = once.Result{State: once.StateDone, Response: rec.Response()}
	case errors.As(err, &p) && p.Ran == call.RanNo:
		result.State = once.StateRefused
	}
	return err
}

// awaitExecution waits for the running execution of the key and replays its
// result.
func (s *Server) awaitExecution(x *exchange, e *once.Execution) error {
	ctx, cancel := context.WithDeadline(x.runCtx, x.call.Deadline)
	defer cancel()
	select {
	case <-e.Done():
		return s.replayResult(x, e.Result())
	case <-ctx.Done():
		return call.NewProblem(call.ProblemDeadline, call.RanUnknown, "the call is still running", ctx.Err())
	}
}

// replayResult responds with the result of the first call.
func (s *Server) replayResult(x *exchange, r once.Result) error {
	switch {
	case r.State == once.StateRefused:
		return call.NewProblem(call.ProblemKeyRefused, call.RanNo, "", nil)
	case r.State != once.StateDone:
		return call.NewProblem(call.ProblemOutcomeUnknown, call.RanUnknown, "the first call's outcome is unknown", nil)
	case r.Response == nil:
		return call.NewProblem(call.ProblemAnswerNotKept, call.RanYes, "", nil)
	}
	h := x.w.Header()
	relay.CopyEndToEndHeaders(h, r.Response.Header)
	h.Set(call.HeaderVersion, x.snap.ID.String())
	h.Set(call.HeaderRan, string(call.RanYes))
	x.responseStarted = true
	x.w.WriteHeader(r.Response.Status)
	if _, err := x.w.Write(r.Response.Body); err != nil {
		return call.NewProblem(call.ProblemCanceled, call.RanYes, "the caller disconnected", err)
	}
	return nil
}
