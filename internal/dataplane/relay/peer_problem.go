package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
)

// PeerProblem returns the problem that another node answered with, or nil if
// the call ran and the answer is the upstream's. Nodes set the header on every
// answer; without it the address belongs to something else by now.
func PeerProblem(resp *http.Response) *call.Problem {
	ran := call.Ran(resp.Header.Get(call.HeaderRan))
	if ran == call.RanYes {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	p := &call.Problem{}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(p)
	if err != nil || p.Type == "" || p.Ran != ran || p.Status < http.StatusBadRequest || p.Status > 599 {
		return call.NewProblem(call.ProblemUpstreamFailed, call.RanUnknown, "the answer is not a node's", err)
	}
	return p
}
