package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
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
)

// forward sends a call to the node beside an instance.
func (s *Server) forward(ctx context.Context, q *request, to *instance.Instance) *result {
	host, _, err := net.SplitHostPort(to.Addr)
	if err != nil {
		return notRun(ReasonUnreachable, err.Error())
	}
	out := q.outgoing()
	out.Header[s.cfg.Names.TimeLeft] = []string{strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10)}
	out.Header[call.HeaderTarget] = []string{to.ID}
	out.Header[call.HeaderRank] = []string{q.rank.Name}
	out.Header[headerAt] = []string{strconv.FormatUint(s.cfg.Revision(), 10)}
	after := s.chooser.RoundTrip(s.cfg.Zone, s.cfg.Region, to) + s.link.Duration(q.answerBytes)
	out.Header[headerDue] = []string{strconv.FormatInt((time.Until(q.due) - after).Milliseconds(), 10)}
	out.Header[headerBytes] = []string{strconv.Itoa(q.answerBytes)}
	if to.Region != s.cfg.Region {
		out.Header[headerFar] = []string{"1"}
	}
	if q.idempotent() {
		out.Header[headerIdempotent] = []string{"1"}
	}
	resp, err := s.peers.Do(ctx, net.JoinHostPort(host, s.cfg.PeerPort), out)
	var dial *httpconn.DialError
	switch {
	case errors.As(err, &dial):
		res := notRun(ReasonUnreachable, err.Error())
		res.lost = ctx.Err() == nil
		return res
	case err != nil:
		res := broken(brokenReason(ctx, err), err.Error())
		res.lost = errors.Is(err, syscall.ETIMEDOUT)
		return res
	}
	res := s.parseResult(ctx, q, resp)
	if res.at > 0 {
		s.cfg.PeerAt(host, res.at)
	}
	return res
}

// parseResult decodes what the node beside the upstream answers.
func (s *Server) parseResult(ctx context.Context, q *request, resp *httpconn.Response) *result {
	kind, ok := parseResultKind(resp.Header.Get(headerResult))
	if !ok {
		_ = resp.Body.Close()
		return broken(ReasonInvalidAnswer, "status "+strconv.Itoa(resp.Status)+" from a node without a result")
	}
	var res *result
	if kind == ResultAnswered {
		res = s.hold(ctx, q, resp)
	} else {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		res = &result{kind: kind, reason: Reason(resp.Header.Get(headerReason))}
		res.reached = resp.Header.Get(headerReached) != ""
		res.detail = resp.Header.Get(headerDetail)
		if ms, err := strconv.ParseInt(resp.Header.Get(headerWait), 10, 64); err == nil {
			res.wait = time.Duration(ms) * time.Millisecond
		}
	}
	res.load = parseLoad(resp.Header.Get(call.HeaderLoad))
	res.ran, res.stayed = parseTimes(resp.Header.Get(headerTimes))
	res.at, _ = strconv.ParseUint(resp.Header.Get(headerAt), 10, 64)
	deleteInternal(resp.Header)
	return res
}

func parseLoad(text string) *placement.Load {
	var l placement.Load
	var backlogMs int64
	if n, _ := fmt.Sscanf(text, "%d %d %d %d %d", &l.Running, &l.Waiting, &l.Slots, &backlogMs, &l.LinkBytesPerSecond); n != 5 {
		return nil
	}
	l.LinkBacklog = time.Duration(backlogMs) * time.Millisecond
	return &l
}

func parseTimes(text string) (ran, stayed time.Duration) {
	a, b, _ := strings.Cut(text, " ")
	r, _ := strconv.ParseInt(a, 10, 64)
	t, _ := strconv.ParseInt(b, 10, 64)
	return time.Duration(r) * time.Microsecond, time.Duration(t) * time.Microsecond
}

// setResult encodes a result for the sending node.
func (s *Server) setResult(h http.Header, res *result) {
	h[headerResult] = []string{res.kind.String()}
	if res.load != nil {
		h[call.HeaderLoad] = []string{fmt.Sprintf("%d %d %d %d %d", res.load.Running, res.load.Waiting, res.load.Slots,
			res.load.LinkBacklog.Milliseconds(), res.load.LinkBytesPerSecond)}
	}
	h[headerTimes] = []string{strconv.FormatInt(res.ran.Microseconds(), 10) + " " + strconv.FormatInt(res.stayed.Microseconds(), 10)}
	h[headerAt] = []string{strconv.FormatUint(s.cfg.Revision(), 10)}
	if res.kind == ResultAnswered {
		return
	}
	h[headerReason] = []string{string(res.reason)}
	h[headerDetail] = []string{strings.Map(printable, res.detail)}
	h[headerWait] = []string{strconv.FormatInt(res.wait.Milliseconds(), 10)}
	if res.reached {
		h[headerReached] = []string{"1"}
	}
}

// printable replaces what cannot stand in a header. Durations contain a micro
// sign.
func printable(r rune) rune {
	switch {
	case r == 'µ':
		return 'u'
	case r < ' ' || r > '~':
		return -1
	}
	return r
}
