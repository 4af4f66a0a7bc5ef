package mesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/instance"
)

// runLocal admits a call to the upstream beside this node and runs it. The
// upstream's slots and its draining state are enforced here, since senders may
// have outdated data about them.
func (s *Server) runLocal(ctx context.Context, q *request, targetID string) *result {
	arrived := time.Now()
	res := s.admitAndRun(ctx, q, targetID)
	res.nodeTime = time.Since(arrived)
	res.load = s.load()
	s.cfg.Metrics.Admissions.WithLabelValues(res.kind.String(), string(res.reason)).Inc()
	return res
}

// admitAndRun waits for a slot and sends the call to the upstream.
func (s *Server) admitAndRun(ctx context.Context, q *request, targetID string) *result {
	self, res := s.localInstance(targetID)
	if res != nil {
		return res
	}
	s.updateLimits(self)
	release, err := s.limiter.Acquire(ctx, &call.Call{Route: q.route, Rank: q.rank, Deadline: q.deadline, SoftDeadline: q.due})
	if err != nil {
		return s.refusalResult(err, q)
	}
	defer release()
	// The upstream may have left while the call waited.
	if self, res = s.localInstance(targetID); res != nil {
		return res
	}
	start := time.Now()
	if left := q.deadline.Sub(start); left < time.Millisecond {
		return notRun(ReasonDeadline, "the deadline passed while the call waited for a slot")
	}
	if !s.misdirected.admits(start, self) {
		return notRun(ReasonOtherInstance, "the upstream refused an earlier call to "+targetID)
	}
	res = s.sendToUpstream(ctx, q, self)
	res.runTime = time.Since(start)
	switch {
	case res.reason == ReasonOtherInstance:
		s.misdirected.record(time.Now(), self)
	case res.kind == ResultAnswered:
		s.misdirected.clear(self)
	}
	return res
}

// localInstance returns the instance of the upstream beside this node if it is
// the target and accepts calls, otherwise the result that refuses the call.
func (s *Server) localInstance(targetID string) (*instance.Instance, *result) {
	now := time.Now()
	self := s.cfg.Directory.ByAddr(now, s.cfg.Service, s.cfg.UpstreamAddr)
	switch {
	case self == nil || self.ID != targetID:
		return nil, notRun(ReasonTargetGone, targetID)
	case !self.Serves(now):
		return nil, notRun(ReasonLeaving, targetID)
	case now.UnixNano() < s.downUntil.Load():
		return nil, notRun(ReasonUnreachable, "a recent attempt to connect to the upstream failed")
	case s.misdirected.blocks(now, self):
		return nil, notRun(ReasonOtherInstance, "the upstream refused an earlier call to "+targetID)
	}
	return self, nil
}

// updateLimits applies the slots that the upstream announces, the limit that it
// names, and the ranks and the connection limit of the current configuration
// version.
func (s *Server) updateLimits(self *instance.Instance) {
	snap := s.cfg.Store.Current()
	if snap == nil {
		return
	}
	limits := admission.Limits{Slots: self.Slots, Ranks: snap.Document.Ranks(), CallsPerSecond: s.namedLimit.get(self)}
	if service, ok := snap.Document.Service(s.cfg.Service); ok {
		limits.Connections = service.Connections
	}
	s.limiter.SetLimits(limits)
}

// refusalResult converts an error of the limiter into a result.
func (s *Server) refusalResult(err error, q *request) *result {
	var late *admission.LateError
	var draining *admission.DrainingError
	var canceled *admission.CanceledError
	switch {
	case errors.As(err, &canceled):
		return notRun(ReasonCallerLeft, err.Error())
	case errors.As(err, &draining):
		return notRun(ReasonLeaving, err.Error())
	case errors.As(err, &late):
		res := notRun(ReasonTooLate, err.Error())
		res.expectedWait = late.Lateness
		if !time.Now().Before(q.deadline) {
			res.reason = ReasonDeadline
		}
		return res
	}
	res := notRun(ReasonOverloaded, err.Error())
	res.expectedWait = minRetryAfter
	return res
}

// sendToUpstream sends an admitted call to the upstream. An idempotent call is
// sent a second time if a reused connection broke and the limit that the upstream
// names and the retry budget permit it.
func (s *Server) sendToUpstream(ctx context.Context, q *request, self *instance.Instance) *result {
	names := s.cfg.HeaderNames
	out := q.outgoing()
	deleteNodeHeaders(out.Header)
	out.Header[names.TimeLeft] = []string{strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10)}
	out.Header[names.ExpectedInstance] = []string{self.ID}
	resp, err := s.upstream.Do(ctx, s.cfg.UpstreamAddr, out)
	var firstErr *httpconn.BrokenError
	if !errors.As(err, &firstErr) || !firstErr.Reused || !q.idempotent() || q.bodyTail != nil || ctx.Err() != nil ||
		!s.limiter.AllowRepeat() || !s.budgets.TakeToken(time.Now(), s.cfg.Service, 0, q.rank.Order) {
		return s.exchangeResult(ctx, q, self, resp, err)
	}
	// The upstream may have closed the idle connection while the request was
	// sent, or crashed while it ran the call. The first request therefore counts
	// as possibly run even if the second one is not run.
	s.cfg.Metrics.Resends.Inc()
	resp, err = s.upstream.Do(ctx, s.cfg.UpstreamAddr, out)
	res := s.exchangeResult(ctx, q, self, resp, err)
	if res.kind == ResultNotRun {
		return broken(ReasonConnectionBroken, firstErr.Error()+", then "+res.detail)
	}
	return res
}

// exchangeResult converts the response or the error of an exchange into a
// result.
func (s *Server) exchangeResult(ctx context.Context, q *request, self *instance.Instance, resp *httpconn.Response, err error) *result {
	if err != nil {
		return s.errorResult(ctx, err)
	}
	return s.responseResult(ctx, q, self, resp)
}

// errorResult classifies an exchange without a response. If no connection could
// be opened, the upstream is considered down for downBackoff.
func (s *Server) errorResult(ctx context.Context, err error) *result {
	var dial *httpconn.DialError
	if errors.As(err, &dial) {
		if ctx.Err() == nil {
			s.downUntil.Store(time.Now().Add(downBackoff).UnixNano())
		}
		return notRun(ReasonUnreachable, err.Error())
	}
	return broken(brokenReason(ctx, err), err.Error())
}

// brokenReason returns why an exchange ended without a complete response. The
// deadline of the connection can expire just before that of the context.
func brokenReason(ctx context.Context, err error) Reason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReasonDeadline
	case ctx.Err() != nil:
		return contextReason(ctx)
	}
	return ReasonConnectionBroken
}

// responseResult checks that a response comes from the upstream and belongs to the
// call, and buffers it. Without the call's id, not even a refusal counts: a faulty
// upstream may write an earlier one again while it runs the call.
func (s *Server) responseResult(ctx context.Context, q *request, self *instance.Instance, resp *httpconn.Response) *result {
	names := s.cfg.HeaderNames
	if q.id != "" && resp.Header.Get(names.AttemptID) != q.id {
		_ = resp.Body.Close()
		return broken(ReasonInvalidResponse, "status "+strconv.Itoa(resp.Status)+" does not echo the attempt id")
	}
	if resp.Header.Get(names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		err := resp.Discard()
		reason := ReasonShed
		if resp.Status == http.StatusMisdirectedRequest {
			reason = ReasonOtherInstance
		} else {
			s.observeNotices(self, resp.Header)
		}
		res := notRun(reason, "status "+strconv.Itoa(resp.Status))
		if err != nil {
			res.detail += ", " + err.Error()
		}
		res.reachedUpstream = true
		res.expectedWait = minRetryAfter
		return res
	}
	if fault := s.invalidReason(resp); fault != "" {
		_ = resp.Body.Close()
		return broken(ReasonInvalidResponse, fault)
	}
	s.observeNotices(self, resp.Header)
	return s.bufferResponse(ctx, q, resp)
}

// observeNotices applies what the upstream beside the node says of itself in a
// response.
func (s *Server) observeNotices(self *instance.Instance, h http.Header) {
	s.observeCallLimit(self, h)
	s.observeLeaving(self, h)
}

// observeLeaving records that an instance leaves if a response of it says so. Each
// node that passes on such a response remembers it: the node beside the upstream
// may restart and forget it.
func (s *Server) observeLeaving(i *instance.Instance, h http.Header) {
	if h.Get(s.cfg.HeaderNames.Leaving) != "" && s.cfg.Directory.MarkLeaving(time.Now(), i) {
		s.cfg.Log.Info("upstream says that it leaves", "instance", i.ID, "service", i.Service)
	}
}

// observeCallLimit applies the limit of calls per second that a response of the
// upstream names, or removes it if the response names none.
func (s *Server) observeCallLimit(self *instance.Instance, h http.Header) {
	limit, err := parseCallLimit(h.Get(s.cfg.HeaderNames.CallLimit))
	if err != nil {
		s.cfg.Log.Warn("limit named by the upstream refused", "instance", self.ID, "error", err.Error())
		return
	}
	if s.namedLimit.set(self, limit) {
		s.updateLimits(self)
		s.cfg.Log.Info("upstream names a limit", "instance", self.ID, "calls_per_second", limit)
	}
}

// invalidReason returns why a response cannot be one that the upstream sent for
// callers, or an empty string.
func (s *Server) invalidReason(resp *httpconn.Response) string {
	names := s.cfg.HeaderNames
	switch {
	case resp.Header.Get(names.Seal) == "":
		return "status " + strconv.Itoa(resp.Status) + " without a seal header"
	case resp.Header.Get("Content-Encoding") != "":
		return "the response has a Content-Encoding"
	}
	return ""
}

// bufferResponse reads a response body into memory, or only its beginning if it
// is too large.
func (s *Server) bufferResponse(ctx context.Context, q *request, resp *httpconn.Response) *result {
	res := &result{kind: ResultAnswered, status: resp.Status, header: resp.Header, length: resp.Length}
	if q.method == http.MethodHead {
		// Content-Length describes the body that a response to HEAD omits.
		res.length = -1
		_ = resp.Body.Close()
		return res
	}
	body, err := readBuffered(resp)
	res.body = body
	if err != nil {
		_ = resp.Body.Close()
		return broken(brokenReason(ctx, err), err.Error())
	}
	if len(body) > maxBufferedBytes {
		res.bodyTail = resp.Body
		return res
	}
	res.length = int64(len(body))
	_ = resp.Body.Close()
	return res
}

// readBuffered reads a body up to one byte beyond maxBufferedBytes.
func readBuffered(resp *httpconn.Response) ([]byte, error) {
	if resp.Length >= 0 && resp.Length <= maxBufferedBytes {
		body := make([]byte, resp.Length)
		_, err := io.ReadFull(resp.Body, body)
		if err == nil {
			// Reading up to EOF returns the connection to the pool.
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
}
