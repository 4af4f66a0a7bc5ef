package mesh

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/comeback"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/pipeline"
)

// respondToCaller records the outcome of a call and writes the response to its
// caller.
func (s *Server) respondToCaller(ctx context.Context, w http.ResponseWriter, q *request, res *result, attempts int) {
	outcome := outcomeLabel(res)
	rank := ""
	if q.rank != nil {
		rank = q.rank.Name
	}
	s.cfg.Metrics.Calls.WithLabelValues(rank, outcome, string(res.reason)).Inc()
	s.cfg.Metrics.CallSeconds.WithLabelValues(rank, outcome).Observe(time.Since(q.arrived).Seconds())
	s.logCall(q, res, outcome, attempts)
	if res.kind == ResultAnswered && res.header != nil && res.status < http.StatusInternalServerError {
		s.comeback.ObserveServed(time.Now(), comeback.Key{Service: q.service.Name, Order: q.rank.Order})
	}
	if closesConnection(ctx, res) {
		w.Header()["Connection"] = []string{"close"}
	}
	if res.kind == ResultAnswered && res.header != nil {
		s.writeResponseToCaller(ctx, w, q, res)
		return
	}
	if res.kind == ResultNotRun {
		w.Header()["Retry-After"] = []string{s.retryAfter(q, res)}
	}
	closeIfBodyUnread(w, res)
	writeEmpty(w, callerStatus(res))
}

// closesConnection reports whether the caller's connection is closed after the response:
// because of this result, or because of that of a call ahead on the connection.
func closesConnection(ctx context.Context, res *result) bool {
	if res.closeConnection {
		return pipeline.BeginClose(ctx)
	}
	return pipeline.ClosesAfter(ctx)
}

// closeIfBodyUnread closes the connection after the refusal of a call whose body found
// no memory, instead of reading the rest of it.
func closeIfBodyUnread(w http.ResponseWriter, res *result) {
	if res.reason == ReasonNoMemory {
		w.Header()["Connection"] = []string{"close"}
	}
}

// callerStatus returns the HTTP status for the caller. 503 guarantees that the
// call has not run and will not run; 502 and 504 guarantee nothing.
func callerStatus(res *result) int {
	switch {
	case res.kind == ResultAnswered:
		return res.status
	case res.kind == ResultNotRun:
		return http.StatusServiceUnavailable
	case res.reason == ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// outcomeLabel returns the outcome for metrics and logs. A result without a
// header was not answered by an upstream: this node rejected the call.
func outcomeLabel(res *result) string {
	switch {
	case res.kind != ResultAnswered:
		return res.kind.String()
	case res.header == nil:
		return "rejected"
	case res.status >= http.StatusInternalServerError:
		return "failed-by-upstream"
	}
	return "answered"
}

// writeResponse writes an upstream's response to w. If the response cannot be
// sent completely, writeResponse aborts the connection, so that the receiver
// does not take the response for a complete one.
func (s *Server) writeResponse(ctx context.Context, w http.ResponseWriter, res *result) {
	h := w.Header()
	relay.CopyEndToEndHeaders(h, res.header)
	if res.length >= 0 && res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(res.length, 10)}
	}
	suppressDefaultHeaders(h)
	w.WriteHeader(res.status)
	out := io.Writer(w)
	if res.transfer != nil {
		out = res.transfer.Writer(ctx, w)
	}
	_, err := out.Write(res.body)
	if err == nil && res.bodyTail != nil {
		_, err = io.Copy(out, res.bodyTail)
	}
	if err != nil {
		s.cfg.Log.Warn("response not sent completely", "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// writeResponseToCaller writes an upstream's response to the caller. While a response that
// ends with the connection is not complete, closing the connection resets it, so that the
// caller does not take a part of the response for the whole.
func (s *Server) writeResponseToCaller(ctx context.Context, w http.ResponseWriter, q *request, res *result) {
	if !q.endsAtClose || res.length >= 0 {
		s.writeResponse(ctx, w, res)
		return
	}
	q.caller.ResetOnClose(true)
	s.writeResponse(ctx, w, res)
	if http.NewResponseController(w).Flush() == nil {
		q.caller.ResetOnClose(false)
	}
}

// suppressDefaultHeaders keeps net/http from adding headers that the upstream
// did not send.
func suppressDefaultHeaders(h http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
}

// writeEmpty writes a response without a body.
func writeEmpty(w http.ResponseWriter, status int) {
	h := w.Header()
	suppressDefaultHeaders(h)
	h["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
}

// retryAfter returns the Retry-After value in seconds for a refused call.
func (s *Server) retryAfter(q *request, res *result) string {
	wait := max(res.expectedWait, minRetryAfter)
	if res.reason != ReasonQuarantined {
		wait = min(wait, maxRetryAfter)
	}
	if res.refusedAsBusy() && q.service != nil {
		wait = s.planReturn(q, wait)
	} else {
		wait = spread(wait)
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// spread adds a random part of up to half to a wait, so that callers refused together do
// not return together.
func spread(wait time.Duration) time.Duration { return wait + rand.N(wait/2+1) }

// planReturn returns when a call that found the upstreams busy may come back: when there
// is room for it behind those that were told so before, within the time that its caller
// waits. Without such a time, callers are spread over the later half of it.
func (s *Server) planReturn(q *request, wait time.Duration) time.Duration {
	now := time.Now()
	limit := min(time.Duration(returnTimeShare*float64(q.deadline.Sub(now))), maxRetryAfter)
	if limit <= wait {
		return spread(wait)
	}
	after, ok := s.comeback.Next(now, comeback.Key{Service: q.service.Name, Order: q.rank.Order}, wait, limit)
	if !ok {
		earliest := max(wait, limit/2)
		return earliest + rand.N(limit-earliest+1)
	}
	return after
}

// contextReason returns the reason for a context that has ended.
func contextReason(ctx context.Context) Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return ReasonDeadline
	}
	return ReasonCallerLeft
}
