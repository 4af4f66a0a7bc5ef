package dataplane

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/member"
)

// serveLocal runs a call on the upstream beside this node.
func (s *Server) serveLocal(x *exchange) error {
	service, _ := x.snap.Document.Service(x.call.Route.Service)
	if self := s.control.Self(); service.Selector != self.Service {
		return call.NewProblem(call.ProblemTargetMismatch, call.RanNo, "the route's service does not run on VM "+self.VM, nil)
	}
	s.limiter.SetLimits(admission.Limits{Slots: service.Slots, Connections: service.Connections, Ranks: x.snap.Document.Ranks()})
	ctx, cancel := context.WithDeadline(x.runCtx, x.call.Deadline)
	defer cancel()
	guarded, err := s.crashGuard.admit(ctx, x)
	if err != nil {
		return err
	}
	defer guarded.Release()
	release, err := s.limiter.Acquire(ctx, x.call)
	if x.r.Header.Get(call.HeaderTarget) != "" {
		setLoadHeader(x.w.Header(), s.loadReport())
	}
	if err != nil {
		return admissionProblem(err)
	}
	defer release()
	// After a pause of the process, the deadline may have passed although ctx's
	// timer has not fired yet.
	if !time.Now().Before(x.call.Deadline) {
		return call.NewProblem(call.ProblemDeadline, call.RanNo, "while waiting for a slot", nil)
	}
	s.cfg.Decisions.Record("call-admitted", "route", x.call.Route.Name, "rank", x.call.Rank.Name)
	if err := guarded.begin(); err != nil {
		return err
	}
	return guarded.finish(s.sendToUpstream(ctx, x, guarded.Suspect))
}

// sendToUpstream sends an admitted call to the upstream. A suspect gets a new
// connection, so that a stale one is not mistaken for another crash.
func (s *Server) sendToUpstream(ctx context.Context, x *exchange, suspect bool) error {
	req := s.newOutgoingRequest(ctx, x, s.cfg.UpstreamAddr)
	req.Header.Set(call.HeaderVersion, x.snap.ID.String())
	req.Header.Set(call.HeaderDepth, strconv.Itoa(x.call.Depth+1))
	transport := s.upstreamTransport
	if suspect {
		transport = s.crashGuard.transport
	}
	resp, err := s.roundTrip(x, transport, req)
	if err != nil {
		return err
	}
	if p := upstreamRefusal(resp); p != nil {
		return p
	}
	return s.copyResponse(ctx, x, resp)
}

// forward sends a call to the node beside the chosen upstream.
func (s *Server) forward(x *exchange, to member.Member) error {
	ctx, cancel := context.WithDeadline(x.runCtx, x.call.Deadline)
	defer cancel()
	resp, err := s.sendToPeer(ctx, x, to)
	if err != nil {
		return err
	}
	x.loadReport = parseLoadHeader(resp.Header)
	if p := relay.PeerProblem(resp); p != nil {
		return p
	}
	return s.copyResponse(ctx, x, resp)
}

// newOutgoingRequest copies the caller's request for the next hop.
func (s *Server) newOutgoingRequest(ctx context.Context, x *exchange, host string) *http.Request {
	in := x.r
	out := &http.Request{
		Method: in.Method,
		URL:    &url.URL{Scheme: "http", Host: host, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Header: make(http.Header, len(in.Header)+6),
		Host:   in.Host,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	relay.CopyEndToEndHeaders(out.Header, in.Header)
	out.Header.Del(call.HeaderTarget)
	out.Header.Del(call.HeaderExpires)
	out.Header.Set(call.HeaderRank, x.call.Rank.Name)
	out.Header.Set(call.HeaderDeadline, strconv.FormatInt(time.Until(x.call.Deadline).Milliseconds(), 10))
	if x.isRetry {
		out.Header.Set(call.HeaderRetry, "1")
	}
	x.body.Attach(out)
	if !x.call.Route.Idempotent {
		relay.PreventTransportRetry(out)
	}
	return out.WithContext(ctx)
}

// copyResponse streams a response to the caller. If the body ends early, the
// error makes Server.finish abort the connection, so that the caller does not
// take the truncated body for a complete one.
func (s *Server) copyResponse(ctx context.Context, x *exchange, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if err := checkFraming(x, resp); err != nil {
		return err
	}
	// A caller that does not read must not hold a slot beyond the deadline.
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(x.call.Deadline)
	h := x.w.Header()
	for name, values := range resp.Header {
		if !relay.IsHopByHopHeader(name) && !strings.HasPrefix(name, call.HeaderPrefix) {
			h[name] = values
		}
	}
	h.Set(call.HeaderVersion, x.snap.ID.String())
	h.Set(call.HeaderRan, string(call.RanYes))
	x.responseStarted = true
	x.w.WriteHeader(resp.StatusCode)
	buf := s.buffers.Get()
	defer s.buffers.Put(buf)
	out := &relay.ErrWriter{W: x.w}
	if _, err := io.CopyBuffer(out, resp.Body, *buf); out.Err != nil {
		return call.NewProblem(call.ProblemCanceled, call.RanYes, "cannot write the response to the caller", err)
	} else if err != nil {
		return roundTripProblem(x, ctx, call.RanUnknown, err)
	}
	_ = rc.SetWriteDeadline(time.Time{})
	return nil
}
