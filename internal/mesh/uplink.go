package mesh

import (
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// linkShare is the part of the time until an answer is due that may be planned
// for making and sending it. Sizes and service times vary by a factor of two,
// and the link is as busy with a short backlog as with a long one.
const linkShare = 0.7

// farLinkShare is the same for calls from other regions. They leave room for
// the calls of the own region, whose answers need no link between regions.
const farLinkShare = 0.35

// lateBacklog is the backlog of the link up to which calls are still served
// whose target cannot be met any more. Behind a longer one they would make
// others late.
const lateBacklog = 100 * time.Millisecond

// reserveLink counts the answer of a call on the VM's link, which carries
// answers to callers and to other nodes. It returns a refusal if the answer,
// which takes some service time to make, could not be sent in time.
func (s *Server) reserveLink(q *request, service time.Duration) (*uplink.Transfer, *result) {
	if q.answerBytes <= uplink.SmallAnswer {
		return s.link.Expect(q.answerBytes, q.due), nil
	}
	backlog, sending := s.link.Backlog(), s.link.Duration(q.answerBytes)
	if late := lateBy(time.Now(), q, backlog, service, sending); late > 0 {
		res := notRun(ReasonLink, "the link is taken for "+backlog.String()+", the answer takes "+sending.String())
		res.wait = late
		res.load = s.load()
		return nil, res
	}
	return s.link.Expect(q.answerBytes, q.due), nil
}

// lateBy returns how much too late an answer would be sent behind a backlog,
// which the link works off while the answer is made. A call whose target is
// lost is only served while the link is nearly idle.
func lateBy(now time.Time, q *request, backlog, service, sending time.Duration) time.Duration {
	took := max(backlog, service) + sending
	if backlog <= lateBacklog {
		return took - q.deadline.Sub(now)
	}
	limit := q.due
	if limit.IsZero() || limit.After(q.deadline) {
		limit = q.deadline
	}
	share := linkShare
	if q.far {
		share = farLinkShare
	}
	return took - time.Duration(share*float64(limit.Sub(now)))
}

// load returns what the node reports to senders.
func (s *Server) load() *placement.Load {
	report := s.limiter.Report()
	return &placement.Load{
		Running: report.Running, Waiting: report.Waiting, Slots: report.Slots,
		LinkBacklog: s.link.Backlog(), LinkBytesPerSecond: s.cfg.LinkBytesPerSecond,
	}
}

func parseBytes(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return max(n, 0)
}
