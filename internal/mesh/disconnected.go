package mesh

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/disconnect"
)

// refuseIfCallerLeft returns the result of a call whose caller has left before it is
// sent to another node, or nil. The context of a call that was read after its caller
// had left ends only later.
func (s *Server) refuseIfCallerLeft(ctx context.Context, q *request) *result {
	if ctx.Err() != context.Canceled && !q.caller.Closed() {
		return nil
	}
	s.observeDisconnected(q, hopNode)
	return notRun(ReasonCallerLeft, "the caller left before the call was sent")
}

// observeCanceled counts a call whose caller had left when it was granted a slot.
func (s *Server) observeCanceled(q *request, err error) {
	var canceled *admission.CanceledError
	if errors.As(err, &canceled) && canceled.Granted {
		s.observeDisconnected(q, hopUpstream)
	}
}

// observeDisconnected counts and logs a call whose caller had left when the call was
// about to be sent to the next hop.
func (s *Server) observeDisconnected(q *request, next hop) {
	s.cfg.Metrics.DisconnectedBeforeSend.WithLabelValues(string(next)).Inc()
	s.cfg.Log.Info("caller disconnected before send", "id", q.id, "hop", string(next),
		"ms", time.Since(q.arrived).Milliseconds(), "retrying", q.retrying)
}

// streamTail prepares the part of the body that is not buffered, which is read while
// the response is written. Until the returned watch is stopped, it cancels the call if
// its caller leaves while that part is unread. It returns nil if the body is buffered
// whole: the HTTP server then ends the context of the request. The watch must be
// stopped before the response is written.
func (q *request) streamTail(w http.ResponseWriter, cancel context.CancelFunc) *disconnect.Watch {
	if q.bodyTail == nil {
		return nil
	}
	relay.AllowReadDuringResponse(w)
	watch := disconnect.NewWatch(q.caller, cancel)
	q.bodyTail = watch.Body(q.bodyTail)
	return watch
}
