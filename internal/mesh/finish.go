package mesh

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
)

// finishEntry answers the caller.
func (s *Server) finishEntry(ctx context.Context, w http.ResponseWriter, q *request, res *result, attempts int) {
	outcome := outcomeOf(res)
	rank := ""
	if q.rank != nil {
		rank = q.rank.Name
	}
	s.cfg.Metrics.Calls.WithLabelValues(rank, outcome, string(res.reason)).Inc()
	s.cfg.Metrics.CallSeconds.WithLabelValues(rank, outcome).Observe(time.Since(q.arrived).Seconds())
	s.logCall(q, res, outcome, attempts)
	if res.kind == ResultAnswered && res.header != nil {
		s.copyAnswer(ctx, w, res)
		return
	}
	if res.kind == ResultNotRun {
		w.Header()["Retry-After"] = []string{retryAfter(res)}
	}
	writeStatus(w, statusOf(res))
}

// statusOf returns the status that the caller gets. 503 promises that the call
// has not run and will not run; 502 and 504 promise nothing.
func statusOf(res *result) int {
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

func outcomeOf(res *result) string {
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

// copyAnswer passes an upstream's answer on. An answer that ends early ends
// the caller's connection, so that it is never taken for a whole one.
func (s *Server) copyAnswer(ctx context.Context, w http.ResponseWriter, res *result) {
	h := w.Header()
	relay.CopyEndToEndHeaders(h, res.header)
	if res.length >= 0 && res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(res.length, 10)}
	}
	noDefaults(h)
	w.WriteHeader(res.status)
	out := io.Writer(w)
	if res.transfer != nil {
		out = res.transfer.Writer(ctx, w)
	}
	_, err := out.Write(res.body)
	if err == nil && res.rest != nil {
		_, err = io.Copy(out, res.rest)
	}
	if err != nil {
		s.cfg.Log.Warn("answer ended early", "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// noDefaults keeps net/http from adding headers that the upstream did not send.
func noDefaults(h http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
}

func writeStatus(w http.ResponseWriter, status int) {
	h := w.Header()
	noDefaults(h)
	h["Content-Length"] = []string{"0"}
	w.WriteHeader(status)
}

// retryAfter tells a refused caller when the upstreams are expected to have
// room, spread over half of that time more, so that the callers that were
// refused together do not return together.
func retryAfter(res *result) string {
	wait := min(max(res.wait, minRetryAfter), maxRetryAfter)
	wait += rand.N(wait/2 + 1)
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// ended tells why a context ended.
func ended(ctx context.Context) Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return ReasonDeadline
	}
	return ReasonCallerLeft
}
