package mesh

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/intake"
	"github.com/filbertpier/filbertpier/internal/pipeline"
)

// readCallerRequest decodes a caller's request and matches its route. The
// result is not nil if the call is refused; the request then holds what was
// decoded so far.
func (s *Server) readCallerRequest(r *http.Request) (*request, *result) {
	q := newRequest(r, s.cfg.HeaderNames)
	if s.draining.Load() {
		return q, refuseLeaving()
	}
	snap := s.cfg.Store.Current()
	if snap == nil {
		res := notRun(ReasonNoVersion, "")
		res.expectedWait = startupRetryAfter
		return q, res
	}
	route, ok := snap.Document.Match(stripPort(r.Host), r.Method, r.URL.Path)
	if !ok {
		return q, &result{kind: ResultAnswered, reason: ReasonNoRoute, status: http.StatusNotFound}
	}
	q.document, q.route = snap.Document, route
	q.rank, _ = snap.Document.Rank(route.Rank)
	q.service, _ = snap.Document.Service(s.trafficSplits.Choose(route))
	q.deadline = q.arrived.Add(s.allowedTime(r, route.TimeoutMs))
	q.due = q.arrived.Add(targetLatency(route, q.rank))
	if !route.Idempotent && !pipeline.AwaitTurn(r.Context()) {
		return q, notRun(ReasonCallerLeft, "the caller left before its earlier calls had ended")
	}
	if s.stopsBefore(q.deadline) {
		return q, refuseLeaving()
	}
	if limit := snap.Document.CallerLimits().MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return q, &result{kind: ResultAnswered, reason: ReasonBodyTooLarge, status: http.StatusRequestEntityTooLarge}
	}
	q.header = make(http.Header, len(r.Header)+2)
	relay.CopyEndToEndHeaders(q.header, r.Header)
	deleteNodeHeaders(q.header)
	q.callerService = s.cfg.Service
	q.header[s.cfg.HeaderNames.CallerService] = []string{s.cfg.Service}
	return q, s.bufferUnscheduled(q, r)
}

// stopsBefore reports whether a planned stop leaves no time for a call that begins now,
// which may be later than it arrived.
func (s *Server) stopsBefore(deadline time.Time) bool {
	plan := s.stopPlan.Load()
	return plan != nil && (s.draining.Load() || !plan.TakesFromCaller(time.Now(), deadline))
}

// refuseLeaving refuses a call because the node stops, and closes the connection, so
// that the caller opens its next one to another node.
func refuseLeaving() *result {
	res := notRun(ReasonLeaving, "")
	res.expectedWait = minRetryAfter
	res.closeConnection = true
	return res
}

// allowedTime returns how long the call may take: the time that the sender
// still waits for it, limited by timeoutMs.
func (s *Server) allowedTime(r *http.Request, timeoutMs int64) time.Duration {
	if ms, err := strconv.ParseInt(r.Header.Get(s.cfg.HeaderNames.TimeLeft), 10, 64); err == nil && ms >= 0 {
		timeoutMs = min(timeoutMs, ms)
	}
	return time.Duration(timeoutMs) * time.Millisecond
}

// targetLatency returns the target latency of a route, which defaults to that
// of its rank.
func targetLatency(route *config.Route, rank *config.Rank) time.Duration {
	ms := route.TargetMs
	if ms <= 0 {
		ms = rank.TargetMs
	}
	return time.Duration(ms) * time.Millisecond
}

// bufferBody buffers the request body. If the body exceeds maxBufferedBytes,
// only its beginning is buffered and the remainder stays in bodyTail. The result
// is not nil if the body cannot be read or there is no memory for it.
func (q *request) bufferBody(r *http.Request) *result {
	q.header.Del("Content-Length")
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	var buffered []byte
	err := q.client.ReadBody(func() (err error) {
		buffered, err = readCharged(r.Body, r.ContentLength, maxBufferedBytes+1, q.client.Charge)
		return err
	})
	var noMemory *intake.RefusedError
	switch {
	case errors.As(err, &noMemory):
		res := notRun(ReasonNoMemory, err.Error())
		res.expectedWait = noMemoryRetryAfter
		return res
	case err != nil:
		return notRun(ReasonBodyUnreadable, err.Error())
	}
	q.body = buffered
	if len(buffered) > maxBufferedBytes {
		q.bodyTail = r.Body
		return nil
	}
	q.length = int64(len(buffered))
	return nil
}

// deleteNodeHeaders deletes the headers that only nodes may set.
func deleteNodeHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, call.HeaderPrefix) {
			delete(h, name)
		}
	}
}

// stripPort removes the port from a Host header.
func stripPort(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		switch host[i] {
		case ':':
			return host[:i]
		case ']':
			return host
		}
	}
	return host
}
