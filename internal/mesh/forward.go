package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// forward sends a call to the node beside an instance.
func (s *Server) forward(ctx context.Context, q *request, to *instance.Instance) *result {
	host, _, err := net.SplitHostPort(to.Addr)
	if err != nil {
		return notRun(ReasonUnreachable, err.Error())
	}
	out := s.peerRequest(q, to)
	if refused := s.refuseIfCallerLeft(ctx, q); refused != nil {
		return refused
	}
	if !out.ExpectContinue {
		s.link.Charge(len(q.body))
	}
	resp, err := s.peers.Do(ctx, net.JoinHostPort(host, s.cfg.PeerPort), out)
	var dial *httpconn.DialError
	switch {
	case errors.As(err, &dial):
		res := notRun(ReasonUnreachable, err.Error())
		res.nodeLost = ctx.Err() == nil
		return res
	case err != nil:
		res := broken(brokenReason(ctx, err), err.Error())
		if bodyHeld(err) {
			res.kind = ResultNotRun
		}
		// ETIMEDOUT: the node's VM no longer acknowledges TCP segments.
		res.nodeLost = errors.Is(err, syscall.ETIMEDOUT)
		return res
	}
	res := s.decodeResult(ctx, q, resp)
	if out.ExpectContinue && res.kind != ResultNotRun {
		s.link.Charge(len(q.body))
	}
	if !res.revision.IsZero() {
		s.cfg.ObservePeerRevision(host, res.revision)
	}
	return res
}

// peerRequest returns the request for the node beside an instance. A large body is
// held back until that node asks for it.
func (s *Server) peerRequest(q *request, to *instance.Instance) *httpconn.Request {
	out := q.outgoing()
	out.Header[s.cfg.HeaderNames.TimeLeft] = []string{strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10)}
	out.Header[call.HeaderTarget] = []string{to.ID}
	out.Header[call.HeaderRank] = []string{q.rank.Name}
	out.Header[headerRevision] = []string{s.cfg.Revision().String()}
	returnTime := s.chooser.RoundTrip(s.cfg.Zone, s.cfg.Region, to) + s.link.Duration(q.responseBytes)
	out.Header[headerDue] = []string{strconv.FormatInt((time.Until(q.due) - returnTime).Milliseconds(), 10)}
	out.Header[headerResponseBytes] = []string{strconv.Itoa(q.responseBytes)}
	if to.Region != s.cfg.Region {
		out.Header[headerOtherRegion] = []string{"1"}
	}
	if q.idempotent() {
		out.Header[headerIdempotent] = []string{"1"}
	}
	out.ExpectContinue = q.largeBody()
	return out
}

// bodyHeld reports whether an exchange failed before the other node asked for the
// body, so that the call cannot have run.
func bodyHeld(err error) bool {
	var broken *httpconn.BrokenError
	return errors.As(err, &broken) && broken.BodyHeld
}

// decodeResult decodes the response of the node beside the upstream.
func (s *Server) decodeResult(ctx context.Context, q *request, resp *httpconn.Response) *result {
	kind, ok := parseResultKind(resp.Header.Get(headerResult))
	if !ok {
		_ = resp.Body.Close()
		return broken(ReasonInvalidResponse, "status "+strconv.Itoa(resp.Status)+" from a node without a result header")
	}
	var res *result
	if kind == ResultAnswered {
		res = s.bufferResponse(ctx, q, resp)
		s.inbound.Charge(len(res.body))
	} else {
		_ = resp.Discard()
		res = &result{kind: kind, reason: Reason(resp.Header.Get(headerReason))}
		res.reachedUpstream = resp.Header.Get(headerReachedUpstream) != ""
		res.detail = resp.Header.Get(headerDetail)
		if ms, err := strconv.ParseInt(resp.Header.Get(headerExpectedWait), 10, 64); err == nil {
			res.expectedWait = time.Duration(ms) * time.Millisecond
		}
	}
	res.load = decodeLoad(resp.Header.Get(call.HeaderLoad))
	res.runTime, res.nodeTime = decodeTimes(resp.Header.Get(headerTimes))
	res.revision, _ = revision.Parse(resp.Header.Get(headerRevision))
	deleteNodeHeaders(resp.Header)
	return res
}

// decodeLoad decodes call.HeaderLoad, which holds the number of running and of
// waiting calls, the slots, the link's backlog of responses in milliseconds, its
// rate in bytes per second, the limit of calls per second and the link's backlog of
// request bodies in milliseconds. Nodes of earlier builds omit the last two. It
// returns nil if the text is malformed.
func decodeLoad(text string) *placement.Load {
	var l placement.Load
	var backlogMs, receiveBacklogMs int64
	n, _ := fmt.Sscanf(text, "%d %d %d %d %d %g %d", &l.Running, &l.Waiting, &l.Slots, &backlogMs, &l.LinkBytesPerSecond,
		&l.CallsPerSecond, &receiveBacklogMs)
	if n < 5 {
		return nil
	}
	l.LinkBacklog = time.Duration(backlogMs) * time.Millisecond
	l.ReceiveBacklog = time.Duration(receiveBacklogMs) * time.Millisecond
	return &l
}

// decodeTimes decodes headerTimes; a missing number counts as zero.
func decodeTimes(text string) (runTime, nodeTime time.Duration) {
	a, b, _ := strings.Cut(text, " ")
	r, _ := strconv.ParseInt(a, 10, 64)
	t, _ := strconv.ParseInt(b, 10, 64)
	return time.Duration(r) * time.Microsecond, time.Duration(t) * time.Microsecond
}

// encodeResult writes a result, which has a load, to the headers of a response to
// another node.
func (s *Server) encodeResult(h http.Header, res *result) {
	h[headerResult] = []string{res.kind.String()}
	h[call.HeaderLoad] = []string{fmt.Sprintf("%d %d %d %d %d %g %d", res.load.Running, res.load.Waiting, res.load.Slots,
		res.load.LinkBacklog.Milliseconds(), res.load.LinkBytesPerSecond, res.load.CallsPerSecond,
		res.load.ReceiveBacklog.Milliseconds())}
	h[headerTimes] = []string{strconv.FormatInt(res.runTime.Microseconds(), 10) + " " + strconv.FormatInt(res.nodeTime.Microseconds(), 10)}
	h[headerRevision] = []string{s.cfg.Revision().String()}
	if res.kind == ResultAnswered {
		return
	}
	h[headerReason] = []string{string(res.reason)}
	h[headerDetail] = []string{strings.Map(headerSafe, res.detail)}
	h[headerExpectedWait] = []string{strconv.FormatInt(res.expectedWait.Milliseconds(), 10)}
	if res.reachedUpstream {
		h[headerReachedUpstream] = []string{"1"}
	}
}

// headerSafe maps a rune for use in a header value: runes that are not
// printable ASCII are dropped. The micro sign in durations becomes u.
func headerSafe(r rune) rune {
	switch {
	case r == 'µ':
		return 'u'
	case r < ' ' || r > '~':
		return -1
	}
	return r
}
