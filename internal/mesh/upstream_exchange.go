package mesh

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/intake"
	"github.com/filbertpier/filbertpier/internal/responsehead"
)

// sendToUpstream sends an admitted call to the upstream, and a second time if
// mayResend permits it.
func (s *Server) sendToUpstream(ctx context.Context, q *request, self *instance.Instance) *result {
	names := s.cfg.HeaderNames
	out := q.outgoing()
	deleteNodeHeaders(out.Header)
	out.Header[names.TimeLeft] = []string{strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10)}
	out.Header[names.ExpectedInstance] = []string{self.ID}
	resp, err := s.upstream.Do(ctx, s.cfg.UpstreamAddr, out)
	var firstErr *httpconn.BrokenError
	if !errors.As(err, &firstErr) || !s.mayResend(ctx, q, firstErr) {
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

// mayResend reports whether a call may be sent to the upstream again: an idempotent
// one whose reused connection broke, if the limit that the upstream names and the
// retry budget permit one more arrival, which it counts in both.
func (s *Server) mayResend(ctx context.Context, q *request, err *httpconn.BrokenError) bool {
	if !err.Reused || responsehead.IsInvalid(err) || !q.idempotent() || q.bodyTail != nil || ctx.Err() != nil || q.caller.Closed() {
		return false
	}
	return s.limiter.AllowRepeat() && s.budgets.TakeToken(time.Now(), s.cfg.Service, 0, q.rank.Order)
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
			s.coldStart.ObserveLost(time.Now())
		}
		return notRun(ReasonUnreachable, err.Error())
	}
	return broken(brokenReason(ctx, err), err.Error())
}

// brokenReason returns why an exchange ended without a usable response. The
// deadline of the connection can expire just before that of the context.
func brokenReason(ctx context.Context, err error) Reason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReasonDeadline
	case ctx.Err() != nil:
		return contextReason(ctx)
	case responsehead.IsInvalid(err):
		return ReasonInvalidResponse
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
// is too large or there is no memory for it.
func (s *Server) bufferResponse(ctx context.Context, q *request, resp *httpconn.Response) *result {
	res := &result{kind: ResultAnswered, status: resp.Status, header: resp.Header, length: resp.Length}
	if q.method == http.MethodHead {
		// Content-Length describes the body that a response to HEAD omits.
		res.length = -1
		_ = resp.Body.Close()
		return res
	}
	body, err := readCharged(resp.Body, resp.Length, maxBufferedBytes+1, q.client.Charge)
	res.body = body
	var noMemory *intake.RefusedError
	if errors.As(err, &noMemory) {
		// Without memory the response is passed on as it arrives.
		res.bodyTail = resp.Body
		return res
	}
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
