package dataplane

import (
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
)

// checkFraming refuses an answer whose end could not be told from a connection
// that broke: one that neither declares its length nor is chunked, or that the
// caller's HTTP version cannot delimit. It returns a *call.Problem.
func checkFraming(x *exchange, resp *http.Response) error {
	if resp.ContentLength >= 0 || x.r.Method == http.MethodHead {
		return nil
	}
	if len(resp.TransferEncoding) == 0 {
		return call.NewProblem(call.ProblemUpstreamFailed, call.RanYes, "the answer declares no length", nil)
	}
	if !x.r.ProtoAtLeast(1, 1) {
		return call.NewProblem(call.ProblemBadRequest, call.RanYes, "an answer of unknown length needs HTTP/1.1", nil)
	}
	return nil
}

// upstreamRefusal returns the problem of an upstream that says that it did not
// run the call, or nil. An upstream that also closes the connection is leaving.
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
