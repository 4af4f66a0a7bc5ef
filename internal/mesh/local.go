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
// upstream's slots and its leaving are enforced here, whatever senders believe.
func (s *Server) runLocal(ctx context.Context, q *request, target string) *result {
	arrived := time.Now()
	res := s.admit(ctx, q, target)
	res.stayed = time.Since(arrived)
	res.load = s.load()
	s.cfg.Metrics.Admissions.WithLabelValues(res.kind.String(), string(res.reason)).Inc()
	return res
}

func (s *Server) admit(ctx context.Context, q *request, target string) *result {
	self, res := s.self(target)
	if res != nil {
		return res
	}
	s.configure(self)
	release, err := s.limiter.Acquire(ctx, &call.Call{Route: q.route, Rank: q.rank, Deadline: q.deadline, SoftDeadline: q.due})
	if err != nil {
		return s.refusal(err, q)
	}
	defer release()
	// The upstream may have left while the call waited.
	if self, res = s.self(target); res != nil {
		return res
	}
	start := time.Now()
	if left := q.deadline.Sub(start); left < time.Millisecond {
		return notRun(ReasonDeadline, "while waiting for a slot")
	}
	res = s.exchange(ctx, q, self)
	res.ran = time.Since(start)
	return res
}

// self returns the instance beside this node if it is the target and takes new
// work, else why not.
func (s *Server) self(target string) (*instance.Instance, *result) {
	now := time.Now()
	self := s.cfg.Directory.At(now, s.cfg.Service, s.cfg.UpstreamAddr)
	switch {
	case self == nil || self.ID != target:
		return nil, notRun(ReasonTargetGone, target)
	case !self.Serves(now):
		return nil, notRun(ReasonLeaving, target)
	case now.UnixNano() < s.downUntil.Load():
		return nil, notRun(ReasonUnreachable, "the upstream refuses connections")
	}
	return self, nil
}

// configure follows the slots that the upstream announces and the ranks of the
// version in force.
func (s *Server) configure(self *instance.Instance) {
	snap := s.cfg.Store.Current()
	if snap == nil {
		return
	}
	limits := admission.Limits{Slots: self.Slots, Ranks: snap.Document.Ranks()}
	if service, ok := snap.Document.Service(s.cfg.Service); ok {
		limits.Connections = service.Connections
	}
	s.limiter.SetLimits(limits)
}

// refusal turns an error of the limiter into a result.
func (s *Server) refusal(err error, q *request) *result {
	var late *admission.LateError
	var leaving *admission.DrainingError
	var canceled *admission.CanceledError
	switch {
	case errors.As(err, &canceled):
		return notRun(ReasonCallerLeft, err.Error())
	case errors.As(err, &leaving):
		return notRun(ReasonLeaving, err.Error())
	case errors.As(err, &late):
		res := notRun(ReasonLate, err.Error())
		res.wait = late.Lateness
		if !time.Now().Before(q.deadline) {
			res.reason = ReasonDeadline
		}
		return res
	}
	res := notRun(ReasonOverloaded, err.Error())
	res.wait = minRetryAfter
	return res
}

// exchange sends an admitted call to the upstream.
func (s *Server) exchange(ctx context.Context, q *request, self *instance.Instance) *result {
	names := s.cfg.Names
	out := q.outgoing()
	deleteInternal(out.Header)
	out.Header[names.TimeLeft] = []string{strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10)}
	out.Header[names.Expect] = []string{self.ID}
	resp, err := s.upstream.Do(ctx, s.cfg.UpstreamAddr, out)
	var first *httpconn.BrokenError
	if !errors.As(err, &first) || !first.Reused || !q.idempotent() || q.rest != nil || ctx.Err() != nil {
		return s.outcome(ctx, q, resp, err)
	}
	// The upstream may have closed the idle connection as the request was sent.
	// It may also have crashed while it ran the call.
	resp, err = s.upstream.Do(ctx, s.cfg.UpstreamAddr, out)
	res := s.outcome(ctx, q, resp, err)
	if res.kind == ResultNotRun {
		return broken(ReasonConnection, first.Error()+", then "+res.detail)
	}
	return res
}

// outcome turns the end of an exchange into a result.
func (s *Server) outcome(ctx context.Context, q *request, resp *httpconn.Response, err error) *result {
	if err != nil {
		return s.failure(ctx, err)
	}
	return s.answer(ctx, q, resp)
}

// failure classifies an exchange without an answer.
func (s *Server) failure(ctx context.Context, err error) *result {
	var dial *httpconn.DialError
	if errors.As(err, &dial) {
		if ctx.Err() == nil {
			s.downUntil.Store(time.Now().Add(downBackoff).UnixNano())
		}
		return notRun(ReasonUnreachable, err.Error())
	}
	return broken(brokenReason(ctx, err), err.Error())
}

// brokenReason tells why an exchange ended without an answer. The deadline of
// the connection may pass just before that of the context.
func brokenReason(ctx context.Context, err error) Reason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReasonDeadline
	case ctx.Err() != nil:
		return ended(ctx)
	}
	return ReasonConnection
}

// answer checks that an answer is the upstream's and holds it.
func (s *Server) answer(ctx context.Context, q *request, resp *httpconn.Response) *result {
	names := s.cfg.Names
	if resp.Header.Get(names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		reason := ReasonShed
		if resp.Status == http.StatusMisdirectedRequest {
			reason = ReasonMisdirected
		}
		res := notRun(reason, "status "+strconv.Itoa(resp.Status))
		if err != nil {
			res.detail += ", " + err.Error()
		}
		res.reached = reason == ReasonShed
		res.wait = minRetryAfter
		return res
	}
	if fault := s.invalid(q, resp); fault != "" {
		_ = resp.Body.Close()
		return broken(ReasonInvalidAnswer, fault)
	}
	return s.hold(ctx, q, resp)
}

// invalid returns why an answer cannot be the upstream's to this call.
func (s *Server) invalid(q *request, resp *httpconn.Response) string {
	names := s.cfg.Names
	switch {
	case resp.Header.Get(names.Seal) == "":
		return "status " + strconv.Itoa(resp.Status) + " without a seal"
	case q.id != "" && resp.Header.Get(names.AttemptID) != q.id:
		return "the answer does not repeat the id"
	case resp.Header.Get("Content-Encoding") != "":
		return "the answer is encoded"
	}
	return ""
}

// hold reads an answer into memory, or its beginning if it is too large.
func (s *Server) hold(ctx context.Context, q *request, resp *httpconn.Response) *result {
	res := &result{kind: ResultAnswered, status: resp.Status, header: resp.Header, length: resp.Length}
	if q.method == http.MethodHead {
		// The length is that of the body which the answer does not have.
		res.length = -1
		_ = resp.Body.Close()
		return res
	}
	body, err := readHeld(resp)
	res.body = body
	if err != nil {
		_ = resp.Body.Close()
		return broken(brokenReason(ctx, err), err.Error())
	}
	if len(body) > holdBytes {
		res.rest = resp.Body
		return res
	}
	res.length = int64(len(body))
	_ = resp.Body.Close()
	return res
}

func readHeld(resp *httpconn.Response) ([]byte, error) {
	if resp.Length >= 0 && resp.Length <= holdBytes {
		body := make([]byte, resp.Length)
		_, err := io.ReadFull(resp.Body, body)
		if err == nil {
			// The end gives the connection back.
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, holdBytes+1))
}
