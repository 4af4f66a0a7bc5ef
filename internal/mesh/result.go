package mesh

import (
	"io"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// result is the outcome of a call or of one of its attempts.
type result struct {
	kind   ResultKind
	reason Reason
	// detail is the text of the underlying error, for logs.
	detail string

	// status, header, body and bodyTail are the response. bodyTail is what
	// follows body if the response is too large to buffer; length is that of the
	// whole body, or -1 if unknown.
	status   int
	header   http.Header
	body     []byte
	bodyTail io.ReadCloser
	length   int64

	// expectedWait is the refusing node's estimate of how long it remains too
	// busy for the call.
	expectedWait time.Duration
	// closeConnection is set if the caller's connection is to be closed after the calls
	// that are being served on it.
	closeConnection bool
	// nodeLost is set if the node beside the instance cannot be reached.
	nodeLost bool
	// reachedUpstream is set if a call that was not run had reached the
	// upstream.
	reachedUpstream bool
	// load is the load of the node beside the upstream; nil if unknown.
	load *placement.Load
	// runTime is how long the call ran at the upstream; nodeTime is its total
	// time at the node beside the upstream, including the wait for a slot.
	runTime, nodeTime time.Duration
	// transfer paces the response on the VM's link; nil if no bandwidth was
	// reserved.
	transfer *uplink.Transfer
	// revision is the latest platform revision known to the other node.
	revision revision.Revision
}

func notRun(reason Reason, detail string) *result {
	return &result{kind: ResultNotRun, reason: reason, detail: detail}
}

func broken(reason Reason, detail string) *result {
	return &result{kind: ResultBroken, reason: reason, detail: detail}
}

// close releases the reserved bandwidth and closes bodyTail.
func (r *result) close() {
	if r.transfer != nil {
		r.transfer.Close()
	}
	if r.bodyTail != nil {
		_ = r.bodyTail.Close()
	}
}

// refusedAsBusy reports whether a call was refused because the upstream or the
// VM's link is busy. Another busy instance would refuse it too.
func (r *result) refusedAsBusy() bool {
	return r != nil && r.kind == ResultNotRun && (r.reason == ReasonTooLate || r.reason == ReasonOverloaded || r.reason == ReasonLinkBusy || r.reason == ReasonDeadline)
}
