package mesh

import (
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// plannedShare is the part of the time until a response is due that may be
// planned for producing and sending it. Sizes and service times vary by a
// factor of two, and a short backlog uses the link as fully as a long one.
const plannedShare = 0.7

// otherRegionPlannedShare is the same for calls from other regions. It is
// smaller, to leave bandwidth for calls of the own region, whose responses need
// no link between regions.
const otherRegionPlannedShare = 0.35

// idleBacklog is the longest backlog of the link at which calls are still
// served although their target latency can no longer be met. At a longer one
// they would delay other responses.
const idleBacklog = 100 * time.Millisecond

// reserveLink reserves bandwidth for the response of a call on the VM's link,
// which carries responses to callers and to other nodes. It returns a refusal
// if the response, which takes the given service time to produce, could not be
// sent in time.
func (s *Server) reserveLink(q *request, service time.Duration) (*uplink.Transfer, *result) {
	if q.responseBytes <= uplink.SmallResponseBytes {
		return s.link.Reserve(q.responseBytes, q.due), nil
	}
	backlog, sending := s.link.Backlog(), s.link.Duration(q.responseBytes)
	if late := lateness(time.Now(), q, backlog, service, sending); late > 0 {
		res := notRun(ReasonLinkBusy, "the link is busy for "+backlog.String()+", sending the response takes "+sending.String())
		res.expectedWait = late
		res.load = s.load()
		return nil, res
	}
	return s.link.Reserve(q.responseBytes, q.due), nil
}

// lateness returns how much too late a response would be sent behind a backlog
// that the link drains while the response is produced; it is not positive if
// the response is in time. A call whose target latency can no longer be met is
// only served while the link is nearly idle.
func lateness(now time.Time, q *request, backlog, service, sending time.Duration) time.Duration {
	sendTime := max(backlog, service) + sending
	if backlog <= idleBacklog {
		return sendTime - q.deadline.Sub(now)
	}
	limit := q.due
	if limit.IsZero() || limit.After(q.deadline) {
		limit = q.deadline
	}
	share := plannedShare
	if q.otherRegion {
		share = otherRegionPlannedShare
	}
	return sendTime - time.Duration(share*float64(limit.Sub(now)))
}

// load returns the load that the node reports to senders.
func (s *Server) load() *placement.Load {
	report := s.limiter.Report()
	return &placement.Load{
		Running: report.Running, Waiting: report.Waiting, Slots: report.Slots,
		LinkBacklog: s.link.Backlog(), LinkBytesPerSecond: s.cfg.LinkBytesPerSecond,
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
