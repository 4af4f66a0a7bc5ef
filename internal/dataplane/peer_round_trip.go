package dataplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/member"
)

// sendToPeer sends a call to another node and returns the response once its header
// has arrived. It fails if neither the header nor an informational response
// arrives for peerSilenceTimeout. Errors are of type *call.Problem.
func (s *Server) sendToPeer(ctx context.Context, x *exchange, to member.Member) (*http.Response, error) {
	if x.callerLeft() {
		return nil, call.NewProblem(call.ProblemCanceled, call.RanNo, "the caller left before the call was sent", nil)
	}
	peerCtx, cancel := context.WithCancelCause(ctx)
	silenceTimer := time.AfterFunc(time.Hour, func() {
		cancel(&SilentConnectionError{Addr: to.CallAddr, Timeout: peerSilenceTimeout})
	})
	defer silenceTimer.Stop()
	peerCtx = httptrace.WithClientTrace(peerCtx, &httptrace.ClientTrace{
		// The timeout starts only here, because dialling has a timeout of its own.
		GotConn: func(httptrace.GotConnInfo) { silenceTimer.Reset(peerSilenceTimeout) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			silenceTimer.Reset(peerSilenceTimeout)
			s.picker.Progress(time.Now(), to.VM)
			return nil
		},
	})
	id := strconv.FormatUint(rand.Uint64(), 36)
	req := s.newOutgoingRequest(peerCtx, x, to.CallAddr)
	req.Header.Set(call.HeaderVersion, x.snap.ID.String())
	req.Header.Set(call.HeaderTarget, to.VM)
	req.Header.Set(call.HeaderCall, id)
	if !x.call.Route.Idempotent {
		req.Header.Set(call.HeaderExpires, strconv.FormatInt(x.call.Deadline.UnixMilli(), 10))
	}
	resp, err := s.roundTrip(x, s.peerTransport, req)
	if err != nil {
		return nil, s.classifyPeerError(ctx, peerCtx, to, err)
	}
	if resp.Header.Get(call.HeaderCall) != id {
		// The connection must not be reused: its responses no longer match the
		// requests.
		cancel(context.Canceled)
		_ = resp.Body.Close()
		s.cfg.Decisions.Record("answer-crossed", "route", x.call.Route.Name, "vm", to.VM)
		return nil, call.NewProblem(call.ProblemUpstreamFailed, call.RanUnknown, "the response belongs to another call", nil)
	}
	return resp, nil
}

// classifyPeerError distinguishes a silent connection from a call that the
// caller or the deadline ended. After a silent connection it closes the idle
// connections to all nodes, because some of them are likely dead too and opening
// a new one costs 1 ms.
func (s *Server) classifyPeerError(ctx, peerCtx context.Context, to member.Member, err error) error {
	var silent *SilentConnectionError
	if ctx.Err() != nil || !errors.As(context.Cause(peerCtx), &silent) {
		return err
	}
	s.peerTransport.CloseIdleConnections()
	s.cfg.Decisions.Record("connection-silent", "vm", to.VM, "addr", to.CallAddr, "limit", peerSilenceTimeout.String())
	return call.NewProblem(call.ProblemUpstreamFailed, call.RanUnknown, silent.Error(), silent)
}
