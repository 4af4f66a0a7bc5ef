package mesh

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// PeerHandler returns the handler for calls from other nodes.
func (s *Server) PeerHandler() http.Handler { return http.HandlerFunc(s.servePeer) }

func (s *Server) servePeer(w http.ResponseWriter, r *http.Request) {
	q := s.readPeerRequest(r)
	if at, err := revision.Parse(r.Header.Get(headerRevision)); err == nil {
		if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
			s.cfg.ObservePeerRevision(host, at)
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	res := s.untilCanceled(cancel, func() *result { return s.runForPeer(ctx, cancel, q, w, r) })
	defer res.close()
	if res.load == nil {
		// A call that was refused before admission.
		res.load = s.load()
	}
	s.logAdmission(q, res)
	s.respondToPeer(r.Context(), w, res)
}

// runForPeer receives the body, reserves bandwidth for the response and runs the
// call; cancel ends ctx. It refuses the call before its body is received if the node
// stops or, if the body is large, if the target is gone or the VM's link has no room.
func (s *Server) runForPeer(ctx context.Context, cancel context.CancelFunc, q *request, w http.ResponseWriter, r *http.Request) *result {
	targetID := r.Header.Get(call.HeaderTarget)
	if plan := s.stopPlan.Load(); plan != nil && !plan.TakesFromNode(q.deadline, q.idempotent()) {
		return notRun(ReasonLeaving, "the node stops before the call's deadline")
	}
	if refused := s.refuseForeignRegion(r); refused != nil {
		return refused
	}
	if refused := s.receiveBody(ctx, cancel, q, r, targetID); refused != nil {
		return refused
	}
	defer q.streamTail(w, cancel).Stop()
	transfer, refused := s.reserveLink(q, s.limiter.ServiceTime(q.rank))
	if refused != nil {
		return refused
	}
	res := s.runLocal(ctx, q, targetID)
	res.transfer = transfer
	if res.kind == ResultAnswered {
		s.responseSizes.Observe(q.rank.Name, len(res.body))
	}
	return res
}

// readPeerRequest decodes the header of a call whose route and instance the caller's
// node has already chosen.
func (s *Server) readPeerRequest(r *http.Request) *request {
	q := newRequest(r, s.cfg.HeaderNames)
	q.otherRegion = r.Header.Get(headerOtherRegion) != ""
	q.route = &config.Route{Idempotent: r.Header.Get(headerIdempotent) != ""}
	q.rank = s.lookupRank(r.Header.Get(call.HeaderRank))
	q.deadline = q.arrived.Add(s.allowedTime(r, config.MaxTimeoutMs))
	if ms, err := strconv.ParseInt(r.Header.Get(headerDue), 10, 64); err == nil {
		q.due = q.arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	q.responseBytes = parseBytes(r.Header.Get(headerResponseBytes))
	if q.responseBytes == 0 {
		// The sender has not observed a response of the route yet.
		q.responseBytes = s.responseSizes.Get(q.rank.Name)
	}
	q.header = make(http.Header, len(r.Header)+2)
	relay.CopyEndToEndHeaders(q.header, r.Header)
	q.callerService = r.Header.Get(s.cfg.HeaderNames.CallerService)
	return q
}

// lookupRank returns a rank of the current configuration version. A sender with
// another version may name a rank that is unknown here; its calls get the
// lowest priority.
func (s *Server) lookupRank(name string) *config.Rank {
	if snap := s.cfg.Store.Current(); snap != nil {
		if r, ok := snap.Document.Rank(name); ok {
			return r
		}
	}
	return &config.Rank{Name: name, Order: config.UndeclaredRankOrder}
}

func (s *Server) respondToPeer(ctx context.Context, w http.ResponseWriter, res *result) {
	if res.kind == ResultAnswered {
		s.encodeResult(res.header, res)
		s.writeResponse(ctx, w, res)
		return
	}
	s.encodeResult(w.Header(), res)
	closeIfBodyUnread(w, res)
	writeEmpty(w, http.StatusServiceUnavailable)
}
