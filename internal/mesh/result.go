package mesh

import (
	"io"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/placement"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// result is how one attempt ended.
type result struct {
	kind   ResultKind
	reason Reason
	// detail is the text of the underlying error, for logs.
	detail string

	// status, header, body and rest are the answer. rest is what follows body
	// if the answer is too large to hold; length is that of the whole body, or
	// -1.
	status   int
	header   http.Header
	body     []byte
	bodyTail io.ReadCloser
	length   int64

	// expectedWait is how long a refusing node expects to be busy.
	expectedWait time.Duration
	// nodeLost is set if the node beside the instance cannot be reached.
	nodeLost bool
	// reachedUpstream is set if a call that was not run reachedUpstream the upstream.
	reachedUpstream bool
	load            *placement.Load
	// runTime is how long the call runTime; nodeTime is the time from its arrival at the
	// node beside the upstream to the end of the answer.
	runTime, nodeTime time.Duration
	// transfer sends the answer on the VM's link; nil if none was reserved.
	transfer *uplink.Transfer
	// revision is the platform's revision that the other node knows.
	revision uint64
}

func notRun(reason Reason, detail string) *result {
	return &result{kind: ResultNotRun, reason: reason, detail: detail}
}

func broken(reason Reason, detail string) *result {
	return &result{kind: ResultBroken, reason: reason, detail: detail}
}

// close ends what is left of the answer.
func (r *result) close() {
	if r.transfer != nil {
		r.transfer.Close()
	}
	if r.bodyTail != nil {
		_ = r.bodyTail.Close()
	}
}

// refusedAsBusy reports whether a call was refused because an upstream is busy. Another
// busy one would refuse it too.
func (r *result) refusedAsBusy() bool {
	return r != nil && r.kind == ResultNotRun && (r.reason == ReasonTooLate || r.reason == ReasonOverloaded || r.reason == ReasonLinkBusy || r.reason == ReasonDeadline)
}
