package dataplane

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/responsehead"
)

// roundTrip sends a request once. A response with an invalid head is a failure. On
// failure it returns a *call.Problem that tells whether the request may have run: without
// a connection it cannot have.
func (s *Server) roundTrip(x *exchange, t *responsehead.Transport, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx := req.Context()
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return resp, nil
	}
	ran := call.RanUnknown
	if !connected.Load() {
		ran = call.RanNo
	}
	return nil, roundTripProblem(x, ctx, ran, err)
}

// roundTripProblem classifies an error from a round trip or from reading the
// response body.
func roundTripProblem(x *exchange, ctx context.Context, ran call.Ran, err error) *call.Problem {
	switch {
	case x.runCtx.Err() != nil && ctx.Err() != nil:
		return call.NewProblem(call.ProblemCanceled, ran, "the caller disconnected", err)
	case ctx.Err() != nil:
		return call.NewProblem(call.ProblemDeadline, ran, "while the call was running", err)
	case ran == call.RanNo:
		return call.NewProblem(call.ProblemUpstreamFailed, ran, "could not connect", err)
	case responsehead.IsInvalid(err):
		return call.NewProblem(call.ProblemUpstreamFailed, ran, "the response is invalid", err)
	}
	return call.NewProblem(call.ProblemUpstreamFailed, ran, "the connection broke", err)
}
