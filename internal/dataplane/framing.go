package dataplane

import (
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
)

// checkFraming rejects a response whose truncation the caller could not detect:
// one with neither a length nor chunked encoding, or one of unknown length to a
// caller that uses HTTP/1.0. Errors are of type *call.Problem.
func checkFraming(x *exchange, resp *http.Response) error {
	if resp.ContentLength >= 0 || x.r.Method == http.MethodHead {
		return nil
	}
	if len(resp.TransferEncoding) == 0 {
		return call.NewProblem(call.ProblemUpstreamFailed, call.RanYes, "the response has neither a length nor chunked encoding", nil)
	}
	if !x.r.ProtoAtLeast(1, 1) {
		return call.NewProblem(call.ProblemBadRequest, call.RanYes, "a response of unknown length requires HTTP/1.1", nil)
	}
	return nil
}

// upstreamRefusal returns a problem if the upstream reports that it did not run
// the call, or else nil. An upstream that also closes the connection is taken to
// be shutting down.
func upstreamRefusal(resp *http.Response) *call.Problem {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(call.HeaderRan) != string(call.RanNo) {
		return nil
	}
	_ = resp.Body.Close()
	if resp.Close {
		return call.NewProblem(call.ProblemUpstreamLeaving, call.RanNo, "the upstream refused the call", nil)
	}
	return call.NewProblem(call.ProblemOverloaded, call.RanNo, "the upstream refused the call", nil)
}
