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
	status int
	header http.Header
	body   []byte
	rest   io.ReadCloser
	length int64

	// wait is how long a refusing node expects to be busy.
	wait time.Duration
	// lost is set if the node beside the instance cannot be reached.
	lost bool
	// reached is set if a call that was not run reached the upstream.
	reached bool
	load    *placement.Load
	// ran is how long the call ran; stayed is the time from its arrival at the
	// node beside the upstream to the end of the answer.
	ran, stayed time.Duration
	// transfer sends the answer on the VM's link; nil if none was reserved.
	transfer *uplink.Transfer
	// at is the platform's revision that the other node knows.
	at uint64
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
	if r.rest != nil {
		_ = r.rest.Close()
	}
}

// noRoom reports whether a call was refused because an upstream is busy. Another
// busy one would refuse it too.
func (r *result) noRoom() bool {
	return r != nil && r.kind == ResultNotRun && (r.reason == ReasonLate || r.reason == ReasonOverloaded || r.reason == ReasonLink || r.reason == ReasonDeadline)
}
