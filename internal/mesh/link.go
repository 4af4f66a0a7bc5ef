package mesh

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// plannedShare is the part of the time until a response is due that may be
// planned for producing and sending it. The remainder is a margin, since sizes
// and service times vary by a factor of two. The margin costs no throughput: a
// short backlog keeps the link as busy as a long one.
const plannedShare = 0.7

// otherRegionPlannedShare is plannedShare for calls from other regions. It is
// smaller, to leave bandwidth for calls from the node's own region, whose
// responses need no link between regions.
const otherRegionPlannedShare = 0.35

// idleBacklog is the longest backlog of the link at which calls are still
// served although their target latency can no longer be met. With a longer
// backlog they would delay other responses.
const idleBacklog = 100 * time.Millisecond

// reserveLink reserves bandwidth for the response of a call on the VM's link,
// which carries responses to callers and to other nodes. It returns a refusal
// if the response, which takes the given service time to produce, could not be
// sent in time.
func (s *Server) reserveLink(q *request, serviceTime time.Duration) (*uplink.Transfer, *result) {
	if q.responseBytes <= uplink.SmallBodyBytes {
		return s.link.Reserve(q.responseBytes, q.due), nil
	}
	backlog, sendTime := s.link.Backlog(), s.link.Duration(q.responseBytes)
	if late := lateness(time.Now(), q, backlog, serviceTime, sendTime); late > 0 {
		return nil, s.refuseLinkBusy(late, backlog, "sending the response takes "+sendTime.String())
	}
	return s.link.Reserve(q.responseBytes, q.due), nil
}

// lateness returns by how much a response would exceed the time planned for it;
// it is not positive if the response is in time. The link drains its backlog
// while the response is produced. Up to idleBacklog, the response only has to
// meet the deadline. With a longer backlog it has to be sent within a share of
// the time left to meet the target latency or the deadline, whichever is
// earlier.
func lateness(now time.Time, q *request, backlog, serviceTime, sendTime time.Duration) time.Duration {
	return plannedLateness(now, q, backlog, max(backlog, serviceTime)+sendTime)
}

// plannedLateness returns by how much a time needed on a link with the given backlog
// exceeds the time planned for it.
func plannedLateness(now time.Time, q *request, backlog, needed time.Duration) time.Duration {
	if backlog <= idleBacklog {
		return needed - q.deadline.Sub(now)
	}
	limit := q.due
	if limit.IsZero() || limit.After(q.deadline) {
		limit = q.deadline
	}
	share := plannedShare
	if q.otherRegion {
		share = otherRegionPlannedShare
	}
	return needed - time.Duration(share*float64(limit.Sub(now)))
}

// receiveBody reads the request body. A large one is asked for only once the VM's
// link has room for it, since bodies queued on the link delay every small call
// behind them. The call is refused before its body is sent if it could not be
// received and run in time, or if the target does not accept calls. A sender that
// disconnects while it waits gives its place up; cancel ends ctx then.
func (s *Server) receiveBody(ctx context.Context, cancel context.CancelFunc, q *request, r *http.Request, targetID string) *result {
	size := int(r.ContentLength)
	if size <= uplink.SmallBodyBytes {
		return s.bufferUnscheduled(q, r)
	}
	if _, refused := s.localInstance(targetID); refused != nil {
		return refused
	}
	backlog, receiveTime := s.inbound.Backlog(), s.inbound.Duration(size)
	needed := backlog + receiveTime + s.limiter.ServiceTime(q.rank)
	if late := plannedLateness(time.Now(), q, backlog, needed); late > 0 {
		return s.refuseLinkBusy(late, backlog, "receiving the body takes "+receiveTime.String())
	}
	watch := disconnect.NewWatch(q.caller, cancel)
	err := s.inbound.Reserve(size, q.due).Receive(ctx)
	watch.Stop()
	if err != nil {
		return notRun(contextReason(ctx), "the link had no room for the body: "+err.Error())
	}
	return q.bufferBody(r)
}

// refuseLinkBusy refuses a call that a busy link would make late by the given time.
func (s *Server) refuseLinkBusy(late, backlog time.Duration, detail string) *result {
	res := notRun(ReasonLinkBusy, "the link is busy for "+backlog.String()+", "+detail)
	res.expectedWait = late
	return res
}

// bufferUnscheduled reads a request body and counts it as received without being
// scheduled, as are all bodies of callers: they are sent before the node can ask.
func (s *Server) bufferUnscheduled(q *request, r *http.Request) *result {
	refused := q.bufferBody(r)
	s.inbound.Charge(len(q.body))
	return refused
}

// load returns the load that the node reports to senders.
func (s *Server) load() *placement.Load {
	report := s.limiter.Report()
	return &placement.Load{
		Running: report.Running, Waiting: report.Waiting, Slots: report.Slots, CallsPerSecond: report.CallsPerSecond,
		LinkBacklog: s.link.Backlog(), ReceiveBacklog: s.inbound.Backlog(), LinkBytesPerSecond: s.cfg.LinkBytesPerSecond,
	}
}

// parseBytes parses headerResponseBytes; malformed or negative numbers count as
// zero.
func parseBytes(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return max(n, 0)
}
